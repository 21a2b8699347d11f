#pragma once

#include "core/Log.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <span>

namespace fireflytrail::daemon {

class TrafficThread;

/**
 * The graceful stop of the traffic threads: the balancer check fails, then the
 * listeners close, then idle connections, and it ends when no call is in
 * progress or at the drain limit. Belongs to the control thread.
 */
class DrainSequence
{
public:
  /** Told the end: true if all calls have ended, false at the limit. */
  using EndFunction = std::function<void(bool)>;

  /** `aLog` must outlive the sequence. */
  DrainSequence(boost::asio::io_context& aContext, const core::Log& aLog);

  /** Starts the sequence. The threads must outlive it. Call once. */
  void Begin(std::span<const std::unique_ptr<TrafficThread>> aThreads,
             std::chrono::milliseconds aLimit,
             EndFunction aOnEnd);

private:
  void Check();

  boost::asio::steady_timer timer;
  const core::Log& log;
  std::span<const std::unique_ptr<TrafficThread>> threads;
  std::chrono::milliseconds limit{ 0 };
  EndFunction onEnd;
  std::chrono::steady_clock::time_point begin;
};

} // namespace fireflytrail::daemon
