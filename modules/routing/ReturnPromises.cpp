#include "routing/ReturnPromises.h"

#include <algorithm>

namespace fireflytrail::routing {

using namespace std::chrono_literals;
using core::TimePoint;
using std::chrono::nanoseconds;

namespace {

// Part of the time after which a return counts as one that waited as told:
// callers measure it from the arrival of the refusal, and cut it to a third of
// the time that they have left.
constexpr double kEarliestPart = 0.5;

// Time after the promised one for which a promise holds.
constexpr std::chrono::milliseconds kGraceTime = 1000ms;

} // namespace

void
ReturnPromises::Promise(std::uint64_t aDigest,
                        nanoseconds aRetryAfter,
                        TimePoint aNow)
{
  if (aDigest == 0) {
    return;
  }
  const auto earliest =
    std::chrono::duration_cast<nanoseconds>(aRetryAfter * kEarliestPart);
  const TimePoint until = aNow + aRetryAfter + kGraceTime;
  this->entries.emplace(aDigest, Entry{ aNow + earliest, until });
  this->order.emplace_back(aDigest, until);
  this->DropExpired(aNow);
}

bool
ReturnPromises::Redeem(std::uint64_t aDigest, TimePoint aNow)
{
  const auto [begin, end] = this->entries.equal_range(aDigest);
  const auto found = std::find_if(begin, end, [aNow](const auto& aEntry) {
    return aNow >= aEntry.second.from && aNow <= aEntry.second.until;
  });
  if (found == end) {
    return false;
  }
  this->entries.erase(found);
  return true;
}

void
ReturnPromises::DropExpired(TimePoint aNow)
{
  while (!this->order.empty() && (this->order.size() > kMaxPromises ||
                                  this->order.front().second < aNow)) {
    const auto [digest, until] = this->order.front();
    this->order.pop_front();
    const auto [begin, end] = this->entries.equal_range(digest);
    const auto found =
      std::find_if(begin, end, [until = until](const auto& aEntry) {
        return aEntry.second.until == until;
      });
    if (found != end) {
      this->entries.erase(found);
    }
  }
}

} // namespace fireflytrail::routing
