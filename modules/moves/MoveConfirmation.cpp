#include "moves/MoveConfirmation.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

namespace fireflytrail::moves {

MoveConfirmation
MoveConfirmation::Of(const std::vector<Member>& aMembers,
                     const std::set<core::DaemonId>& aConfirmations)
{
  MoveConfirmation result;
  bool isBlocked = false;
  for (const Member& member : aMembers) {
    if (aConfirmations.contains(member.id)) {
      result.confirmed.push_back(member.id.name);
    } else if (member.reachability == Reachability::Alive) {
      result.awaited.push_back(member.id.name);
      isBlocked = true;
    } else {
      result.unreachable.push_back(member.id.name);
      isBlocked = isBlocked || member.reachability == Reachability::Suspect;
    }
  }
  result.isDone = !isBlocked && !result.confirmed.empty();
  return result;
}

std::string
MoveConfirmation::ToString() const
{
  std::string text = fmt::format("{}: {} confirmed",
                                 this->isDone ? "done" : "not done",
                                 this->confirmed.size());
  if (!this->awaited.empty()) {
    text += fmt::format(", waiting for {}", fmt::join(this->awaited, ", "));
  }
  if (!this->unreachable.empty()) {
    text += fmt::format(", could not be asked: {}",
                        fmt::join(this->unreachable, ", "));
  }
  return text;
}

} // namespace fireflytrail::moves
