#pragma once

#include <string>

namespace fireflytrail::routing {

/** Identity and location of one server instance, from the platform's host list.
 */
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
