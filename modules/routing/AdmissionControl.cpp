#include "routing/AdmissionControl.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace fireflytrail::routing {

AdmissionControl::AdmissionControl(core::RandomFunction aRandom)
  : random(std::move(aRandom))
{
  assert(this->random);
}

double
AdmissionControl::ShedShare(double aLevel, Priority aPriority)
{
  const double startLevel = 2.0 - static_cast<double>(aPriority);
  return std::clamp(aLevel - startLevel, 0.0, 1.0);
}

core::ErrorKind
AdmissionControl::Admit(const ServiceRoute& aService, Priority aPriority) const
{
  aService.load->CountDemand();
  for (const auto& dependency : aService.dependencyLoads) {
    if (!dependency->CanServe()) {
      return core::ErrorKind::DependencyUnavailable;
    }
  }
  const double share = ShedShare(aService.load->ShedLevel(), aPriority);
  if (share > 0 &&
      static_cast<double>(this->random() >> 11U) * 0x1.0p-53 < share) {
    return core::ErrorKind::Overloaded;
  }
  if (aPriority == Priority::Urgent) {
    return core::ErrorKind::None;
  }
  const bool hit = aService.load->InFlight() + 1 > aService.load->Bound();
  aService.load->CountBoundCheck(hit);
  return hit ? core::ErrorKind::Overloaded : core::ErrorKind::None;
}

} // namespace fireflytrail::routing
