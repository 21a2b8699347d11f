#include "routing/AdmissionControl.h"

#include <algorithm>
#include <cassert>

namespace fireflytrail::routing {

namespace {

/** Reported calls in flight per slot from which the fleet counts as busy. */
constexpr double kBusyUtilization = 1.3;

std::size_t
ServersTakingCalls(const ServiceRoute& aService)
{
  std::size_t count = 0;
  for (const VersionRoute& version : aService.versions) {
    count += version.servers.size();
  }
  return count;
}

} // namespace

AdmissionControl::AdmissionControl(std::uint32_t aHosts)
  : hosts(aHosts)
{
  assert(aHosts > 0);
}

double
AdmissionControl::Bound(Priority aPriority)
{
  switch (aPriority) {
    case Priority::Urgent:
      return 2.0;
    case Priority::Normal:
      return 1.5;
    case Priority::Low:
      break;
  }
  return 1.1;
}

core::ErrorKind
AdmissionControl::Admit(const ServiceRoute& aService, Priority aPriority) const
{
  for (const auto& dependency : aService.dependencyLoads) {
    if (!dependency->CanServe()) {
      return core::ErrorKind::DependencyUnavailable;
    }
  }
  if (aService.load->Utilization() < kBusyUtilization) {
    return core::ErrorKind::None;
  }
  const double slots =
    static_cast<double>(ServersTakingCalls(aService)) * aService.slots;
  const double bound = std::max(1.0, slots / this->hosts * Bound(aPriority));
  return aService.load->InFlight() < bound ? core::ErrorKind::None
                                           : core::ErrorKind::Overloaded;
}

} // namespace fireflytrail::routing
