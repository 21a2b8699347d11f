#pragma once

#include "core/ErrorKind.h"
#include "core/Hooks.h"
#include "routing/CallRoute.h"
#include "routing/ServiceRoute.h"

namespace fireflytrail::routing {

/**
 * Decides before any attempt whether a call is admitted. Calls that are not
 * are refused at once and as "not run": queueing them in the daemon would use
 * up their deadlines while as many others are refused anyway. How much is shed
 * is decided by `ShedController`. Each traffic thread has its own object; takes
 * no lock and does not allocate.
 */
class AdmissionControl
{
public:
  explicit AdmissionControl(core::RandomFunction aRandom);

  /**
   * Returns `ErrorKind::None` if the call is admitted, `Overloaded` if it is
   * shed, or `DependencyUnavailable` if a service that it depends on, directly
   * or not, has no server that takes calls: the outermost call is refused
   * before any part of the work is done.
   */
  core::ErrorKind Admit(const ServiceRoute& aService, Priority aPriority) const;

  /** Returns the share of the calls of a priority that is shed at a level of
   * `ShedController`. Thread-safe. */
  static double ShedShare(double aLevel, Priority aPriority);

private:
  core::RandomFunction random;
};

} // namespace fireflytrail::routing
