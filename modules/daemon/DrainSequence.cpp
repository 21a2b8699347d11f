#include "daemon/DrainSequence.h"

#include "daemon/TrafficThread.h"

#include <cassert>
#include <utility>

namespace fireflytrail::daemon {

using namespace std::chrono_literals;

namespace {

// Time from the failing health check to the closing of the listeners, so that
// the platform's load balancer stops sending before connections are refused.
constexpr auto kAcceptGrace = 2s;
// Idle connections are closed this much later than the listeners, because a
// caller may be sending its next request on one at that moment.
constexpr auto kIdleGrace = 1s;
constexpr auto kCheckInterval = 50ms;

} // namespace

DrainSequence::DrainSequence(boost::asio::io_context& aContext,
                             const core::Log& aLog)
  : timer(aContext)
  , log(aLog)
{
}

void
DrainSequence::Begin(std::span<const std::unique_ptr<TrafficThread>> aThreads,
                     std::chrono::milliseconds aLimit,
                     EndFunction aOnEnd)
{
  assert(aOnEnd && !this->onEnd);
  this->threads = aThreads;
  this->limit = aLimit;
  this->onEnd = std::move(aOnEnd);
  this->begin = std::chrono::steady_clock::now();
  for (const auto& thread : this->threads) {
    thread->BeginStop();
  }
  this->Check();
}

void
DrainSequence::Check()
{
  const auto elapsed = std::chrono::steady_clock::now() - this->begin;
  std::size_t sessions = 0;
  std::size_t calls = 0;
  for (const auto& thread : this->threads) {
    if (elapsed >= kAcceptGrace) {
      thread->CloseListener();
    }
    if (elapsed >= kAcceptGrace + kIdleGrace) {
      thread->CloseIdleSessions();
    }
    sessions += thread->SessionCount();
    calls += thread->CallCount();
  }
  if (elapsed >= kAcceptGrace && sessions == 0 && calls == 0) {
    this->onEnd(true);
    return;
  }
  if (elapsed >= this->limit) {
    this->log.Write(core::LogLevel::Warning,
                    "drain_limit_reached",
                    { { "sessions", static_cast<std::int64_t>(sessions) },
                      { "calls", static_cast<std::int64_t>(calls) } });
    this->onEnd(false);
    return;
  }
  this->timer.expires_after(kCheckInterval);
  this->timer.async_wait([this](boost::system::error_code aError) {
    if (!aError) {
      this->Check();
    }
  });
}

} // namespace fireflytrail::daemon
