#include "proxy/StopSchedule.h"

#include <algorithm>

namespace fireflytrail::proxy {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

// The platform's balancer checks readiness once a second and removes a host
// after two failed checks, so new connections can arrive for up to this long
// after a stop has begun.
constexpr milliseconds kBalancerDelay = 2500ms;

// Part of the limit that is reserved for the end of the process.
constexpr milliseconds kEndMargin = 300ms;

// Time before the end for the transfer of the last answers.
constexpr milliseconds kAnswerMargin = 200ms;

// Time before the end of a stop at which connections that were unused at its
// begin are closed: later requests would be refused.
constexpr milliseconds kUnusedMargin = 2000ms;

// Time that a request may be in transit before its connection is closed.
constexpr milliseconds kTransferMargin = 1000ms;

} // namespace

StopSchedule::StopSchedule(core::TimePoint aBegin, milliseconds aLimit)
  : begin(aBegin)
  , limit(aLimit)
{
}

std::chrono::seconds
StopSchedule::KeepAliveTime(milliseconds aLimit, milliseconds aIdleTimeout)
{
  return std::max<std::chrono::seconds>(
    1s,
    std::chrono::floor<std::chrono::seconds>(
      std::min(aLimit - kUnusedMargin, aIdleTimeout - kTransferMargin)));
}

core::TimePoint
StopSchedule::ListenUntil() const
{
  return std::min(this->begin + kBalancerDelay, this->End());
}

core::TimePoint
StopSchedule::LastDeadline() const
{
  return this->End() - kAnswerMargin;
}

core::TimePoint
StopSchedule::End() const
{
  return this->begin + this->limit - kEndMargin;
}

bool
StopSchedule::MayStart(core::TimePoint aNow, const Request& aRequest) const
{
  if (aRequest.latestEnd <= this->LastDeadline()) {
    return true;
  }
  return aRequest.mayBeRepeated && aNow <= this->ListenUntil() &&
         aRequest.expectedEnd <= this->LastDeadline();
}

} // namespace fireflytrail::proxy
