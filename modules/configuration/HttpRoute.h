#pragma once

#include <chrono>
#include <string>
#include <vector>

namespace fireflytrail::configuration {

/** A service and its part of a route's requests. */
struct WeightedService
{
  std::string service;
  /** Relative to the other services of the route; above 0. */
  double weight = 1;

  bool operator==(const WeightedService&) const = default;
};

/** Requests that belong together by host and path, as operators define them. */
struct HttpRoute
{
  std::string name;
  std::string host;
  /** Begins and ends with a slash. */
  std::string pathPrefix;
  /** At least one. */
  std::vector<WeightedService> services;
  /** Whether a request may be run more than once without harm. */
  bool isIdempotent = false;
  /** Longest time that a caller is kept waiting. */
  std::chrono::milliseconds timeout{ 0 };
  /** Time within which an answer has its full value. */
  std::chrono::milliseconds latencyGoal{ 0 };
  /** Servers that one request may be sent to; at least 1. */
  unsigned maxAttempts = 1;
  /** 0 is the most important. */
  unsigned priority = 0;

  bool operator==(const HttpRoute&) const = default;
};

} // namespace fireflytrail::configuration
