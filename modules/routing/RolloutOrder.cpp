#include "routing/RolloutOrder.h"

namespace fireflytrail::routing {

std::string_view
NameOf(RolloutState aState)
{
  switch (aState) {
    case RolloutState::Completed:
      return "completed";
    case RolloutState::RolledBack:
      return "rolled_back";
    case RolloutState::Running:
      break;
  }
  return "running";
}

} // namespace fireflytrail::routing
