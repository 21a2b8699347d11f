#pragma once

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/verb.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace fireflytrail::core {
class MemoryLease;
} // namespace fireflytrail::core

namespace fireflytrail::gateway {

/** One call of a caller, after the HTTP request has been read completely. */
struct CallRequest
{
  boost::beast::http::verb method = boost::beast::http::verb::get;
  /** First segment of the path in `CallerDialect::Native`, otherwise empty. */
  std::string service;
  /** Value of the Host field; empty in `CallerDialect::Native`. */
  std::string host;
  /** The caller's id of this attempt; empty in `CallerDialect::Native`. */
  std::string id;
  /** Path and query, starting with a slash and without the service segment. */
  std::string target;
  /** End-to-end header fields; hop-by-hop fields are removed. */
  boost::beast::http::fields fields;
  std::string body;
  /** The key that the caller presents; secret, so never logged or sent on. */
  std::optional<std::string> key;
  /** Name of the organisation that holds the key; empty if the configuration
   * has no organisations, or the route is public and the key unknown. Set by
   * the daemon, never from the caller's own fields. */
  std::string organisation;
  /** Priority of the organisation; 0 if there is none. */
  unsigned organisationPriority = 0;
  /** Version of the configuration that the organisation was last looked up in;
   * 0 before. */
  std::uint64_t identifiedByVersion = 0;
  /** Counts the body in the memory budget of the process; may be null. */
  std::shared_ptr<const core::MemoryLease> bodyLease;
  /** Time that the caller allows for the call, from the arrival of its head. */
  std::optional<std::chrono::milliseconds> deadline;
  /** Time from the arrival of the head until the body was complete. */
  std::chrono::nanoseconds bodyTime{ 0 };
  std::optional<std::string> ticket;
  /** Above 0 if this call, or a call upstream of it, is a retry. */
  unsigned attempt = 0;
  /** Number of calls upstream of this one in the call chain. */
  unsigned depth = 0;
};

} // namespace fireflytrail::gateway
