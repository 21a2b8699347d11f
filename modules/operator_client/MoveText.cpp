#include "operator_client/MoveText.h"

#include "operator_client/TimeText.h"

#include <fmt/format.h>

namespace fireflytrail::operator_client {

using configuration::Move;
using configuration::MoveKind;
using configuration::MoveState;

std::string_view
MoveStateName(MoveState aState)
{
  switch (aState) {
    case MoveState::Running:
      return "running";
    case MoveState::Done:
      return "done";
    case MoveState::TakenBack:
      return "taken back";
    case MoveState::Cancelled:
      break;
  }
  return "cancelled";
}

std::string
DescribeMove(const Move& aMove)
{
  std::string change;
  if (aMove.kind == MoveKind::Version) {
    change = fmt::format("{} version {} to {} by {}",
                         aMove.service,
                         aMove.fromVersion,
                         aMove.toVersion,
                         FormatTime(aMove.setTime));
  } else {
    change = fmt::format("domain {} {}",
                         aMove.failureDomain,
                         aMove.kind == MoveKind::DomainOut ? "out" : "back");
  }
  std::string line = fmt::format("move {}: {}: {}, asked at {} by {}",
                                 aMove.id,
                                 change,
                                 MoveStateName(aMove.state),
                                 FormatTime(aMove.requestTime),
                                 aMove.requestedBy);
  if (!aMove.reason.empty()) {
    line += ": " + aMove.reason;
  }
  return line;
}

} // namespace fireflytrail::operator_client
