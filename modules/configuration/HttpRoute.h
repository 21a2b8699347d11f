#pragma once

#include <chrono>
#include <string>
#include <vector>

namespace fireflytrail::configuration {

/** A service and its share of a route's requests. */
struct WeightedService
{
  std::string service;
  /** Relative to the other services of the route; above 0. */
  double weight = 1;

  bool operator==(const WeightedService&) const = default;
};

/** Operators' settings for the requests with one host and path prefix. */
struct HttpRoute
{
  std::string name;
  std::string host;
  /** Begins and ends with a slash. */
  std::string pathPrefix;
  /** At least one. */
  std::vector<WeightedService> services;
  /** Whether a request may safely be run more than once. */
  bool isIdempotent = false;
  /** Maximum time that a caller waits for an answer. */
  std::chrono::milliseconds timeout{ 0 };
  /** Target latency; an answer that arrives later is worth less. */
  std::chrono::milliseconds latencyGoal{ 0 };
  /** Maximum number of servers that one request is sent to; at least 1. */
  unsigned maxAttempts = 1;
  /** 0 is the highest priority. */
  unsigned priority = 0;
  /** Whether callers need no key although the configuration has organisations.
   */
  bool isPublic = false;

  bool operator==(const HttpRoute&) const = default;
};

} // namespace fireflytrail::configuration
