#pragma once

#include "core/ErrorKind.h"
#include "core/Hooks.h"
#include "routing/CallRoute.h"
#include "routing/ServiceRoute.h"

namespace fireflytrail::routing {

/**
 * Decides, before the first attempt, whether a call is admitted. A call that is
 * not admitted is refused immediately with the outcome "not run". It is not
 * queued: waiting would consume its deadline and would not reduce the number of
 * calls that must be refused. `ShedController` decides how many calls are shed.
 * Each traffic thread has its own instance. Takes no lock and does not
 * allocate.
 */
class AdmissionControl
{
public:
  explicit AdmissionControl(core::RandomFunction aRandom);

  /**
   * Returns `ErrorKind::None` if the call is admitted, `Overloaded` if it is
   * shed, or `DependencyUnavailable` if a direct or indirect dependency of the
   * service has no server that accepts calls. Checking all dependencies here
   * refuses the outermost call before any part of its work is done.
   */
  core::ErrorKind Admit(const ServiceRoute& aService, Priority aPriority) const;

  /** Returns the share (0 to 1) of the calls of priority `aPriority` that is
   * shed at level `aLevel` of `ShedController`. Thread-safe. */
  static double ShedShare(double aLevel, Priority aPriority);

private:
  core::RandomFunction random;
};

} // namespace fireflytrail::routing
