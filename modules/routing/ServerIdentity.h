#pragma once

#include <string>

namespace fireflytrail::routing {

/** What the platform's host list says about one server instance. */
struct ServerIdentity
{
  /** Unique over all services. */
  std::string id;
  std::string service;
  std::string version;
  /** IP address and port. */
  std::string address;
  std::string failureDomain;

  bool operator==(const ServerIdentity&) const = default;
};

} // namespace fireflytrail::routing
