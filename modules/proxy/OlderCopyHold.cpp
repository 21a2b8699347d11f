#include "proxy/OlderCopyHold.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace fireflytrail::proxy {

OlderCopyHold::OlderCopyHold(core::NowFunction aNow)
  : now(std::move(aNow))
{
  assert(this->now);
}

void
OlderCopyHold::Hold(store::ObjectRecord aObject)
{
  const core::TimePoint until = this->now() + kWait;
  std::string name = aObject.name;
  this->held.insert_or_assign(std::move(name),
                              Held{ until, std::move(aObject) });
}

bool
OlderCopyHold::Drop(const std::string& aName)
{
  return this->held.erase(aName) > 0;
}

std::optional<core::TimePoint>
OlderCopyHold::NextDue() const
{
  std::optional<core::TimePoint> due;
  for (const auto& [name, entry] : this->held) {
    due = due ? std::min(*due, entry.until) : entry.until;
  }
  return due;
}

std::vector<store::ObjectRecord>
OlderCopyHold::TakeDue()
{
  const core::TimePoint time = this->now();
  std::vector<store::ObjectRecord> due;
  std::erase_if(this->held, [&](auto& aEntry) {
    if (aEntry.second.until > time) {
      return false;
    }
    due.push_back(std::move(aEntry.second.object));
    return true;
  });
  return due;
}

} // namespace fireflytrail::proxy
