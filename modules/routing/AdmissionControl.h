#pragma once

#include "core/ErrorKind.h"
#include "routing/CallRoute.h"
#include "routing/ServiceRoute.h"

#include <cstdint>

namespace fireflytrail::routing {

/**
 * Decides before any attempt whether a call is admitted. Under overload it
 * refuses the least important calls first, at once and as "not run": a call
 * that waits in the daemon holds memory and its deadline while others are
 * refused anyway.
 *
 * A daemon admits without bound while the fleet has free slots by the reports.
 * Otherwise it bounds its calls in flight to its share of the fleet's slots
 * times `kOvercommit`, and keeps a part of that bound back for more important
 * calls. Thread-safe and lock-free.
 */
class AdmissionControl
{
public:
  /** Makes the decision for a daemon that is one of `aHosts` > 0. */
  explicit AdmissionControl(std::uint32_t aHosts);

  /**
   * Returns `ErrorKind::None` if the call is admitted, `Overloaded` if its
   * service has no room for its priority, or `DependencyUnavailable` if a
   * service that it depends on, directly or not, has no server that takes
   * calls.
   */
  core::ErrorKind Admit(const ServiceRoute& aService, Priority aPriority) const;

  /** Calls in flight per share of a slot from which calls of a priority are
   * refused while the fleet is busy. */
  static double Bound(Priority aPriority);

private:
  std::uint32_t hosts;
};

} // namespace fireflytrail::routing
