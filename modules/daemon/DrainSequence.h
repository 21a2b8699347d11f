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
 * Graceful stop of the traffic threads. First the health check of the
 * platform's load balancer (`/healthz`) fails, then the listeners are closed,
 * then idle connections. It ends when no connection is open and no call is in
 * progress, or at the drain limit. Use on the control thread only.
 */
class DrainSequence
{
public:
  /** Receives the result: true if all calls have ended, false if the drain
   * limit was reached. */
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
