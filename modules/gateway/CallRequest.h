#pragma once

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/verb.hpp>

#include <chrono>
#include <optional>
#include <string>

namespace fireflytrail::gateway {

/** One call of a caller, after the HTTP request has been read completely. */
struct CallRequest
{
  boost::beast::http::verb method = boost::beast::http::verb::get;
  /** First part of the path in the product's own dialect, else empty. */
  std::string service;
  /** Host that the caller named; empty in the product's own dialect. */
  std::string host;
  /** The caller's id of this attempt; empty in the product's own dialect. */
  std::string id;
  /** Path and query (below the service, if there is one), from a slash on. */
  std::string target;
  /** End-to-end header fields; hop-by-hop fields are removed. */
  boost::beast::http::fields fields;
  std::string body;
  std::optional<std::chrono::milliseconds> deadline;
  std::optional<std::string> ticket;
  /** Above 0 when this call or a call above it is a retry. */
  unsigned attempt = 0;
  unsigned depth = 0;
};

} // namespace fireflytrail::gateway
