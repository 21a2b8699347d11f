#pragma once

#include "core/ErrorKind.h"

#include <cstdint>

namespace fireflytrail::gateway {
struct CallerDialect;
struct CallRequest;
}

namespace fireflytrail::routing {
class HttpRouteTable;
class KeyTable;
}

namespace fireflytrail::proxy {

/** Determines which organisation a request belongs to. */
class CallerIdentity
{
public:
  /** One version of the configuration; the objects must outlive the call. */
  struct Configuration
  {
    const routing::HttpRouteTable& routes;
    const routing::KeyTable& keys;
  };

  /**
   * Sets the organisation of a request from its key, and removes the key and
   * the caller's own naming of an organisation from the fields that servers
   * get. Does nothing if it has already done so by this configuration. Where
   * the configuration has no organisations, the fields stay as they are.
   *
   * `aIsPublic` says whether the route was public when the request arrived; it
   * is used if the configuration no longer has a route for the request.
   *
   * Returns `None`, or `UnknownKey` if the request must not be run. Not
   * thread-safe for the same request; performs no I/O.
   */
  static core::ErrorKind Apply(const Configuration& aConfiguration,
                               const gateway::CallerDialect& aDialect,
                               bool aIsPublic,
                               gateway::CallRequest& aCall);
};

} // namespace fireflytrail::proxy
