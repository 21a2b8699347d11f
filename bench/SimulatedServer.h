#pragma once

#include "bench/EventQueue.h"
#include "routing/LoadReport.h"
#include "routing/ServerLoad.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <random>
#include <utility>
#include <vector>

namespace fireflytrail::bench {

/**
 * Simulated backend server with slots, a queue, noisy neighbours, stale load
 * reports and faults. With noise its speed changes every 5 to 50 ms, also for
 * the calls in progress.
 */
class SimulatedServer
{
public:
  /** Receives the outcome of a call and the load report that comes with the
   * answer, or nullptr if there is none. */
  using AnswerHandler =
    std::function<void(routing::SelectionOutcome, const routing::LoadReport*)>;

  struct Settings
  {
    std::uint32_t slots = 4;
    /** Number of calls that may wait for a slot; further calls are refused. */
    std::uint32_t backlog = 4;
    std::chrono::nanoseconds serviceTime = std::chrono::milliseconds(10);
    std::chrono::nanoseconds warmUpTime = std::chrono::seconds(4);
    std::chrono::nanoseconds downTime = std::chrono::seconds(1);
    /** A server that turned cold without a restart crashes when its calls in
     * flight have exceeded its capacity for this time. */
    std::chrono::nanoseconds overloadTolerance = std::chrono::milliseconds(250);
    bool noise = true;
    /** Whether a cold server reports the state cold; otherwise it reports
     * ready. */
    bool reportsCold = true;
  };

  SimulatedServer(EventQueue& aQueue, Settings aSettings, std::uint64_t aSeed)
    : queue(aQueue)
    , settings(aSettings)
    , engine(aSeed)
  {
    this->start = this->engine();
    this->PublishReport();
    this->RefreshReport();
    if (this->settings.noise) {
      this->ChangeNoise();
    }
  }

  SimulatedServer(const SimulatedServer&) = delete;
  SimulatedServer& operator=(const SimulatedServer&) = delete;

  /** Handles an arriving call. The handler is called without network delay. */
  void Handle(AnswerHandler aAnswerHandler)
  {
    ++this->arrived;
    this->lastArrival = this->queue.Now();
    if (this->down) {
      aAnswerHandler(routing::SelectionOutcome::ConnectFailed, nullptr);
      return;
    }
    if (this->draining) {
      ++this->refused;
      aAnswerHandler(routing::SelectionOutcome::Refused, &this->report);
      return;
    }
    if (this->failsFast) {
      this->queue.ScheduleAfter(
        std::chrono::microseconds(100),
        [this, answerHandler = std::move(aAnswerHandler)] {
          answerHandler(routing::SelectionOutcome::Failed, &this->report);
        });
      return;
    }
    if (this->InFlight() >= this->settings.slots + this->settings.backlog) {
      ++this->refused;
      aAnswerHandler(routing::SelectionOutcome::Refused, &this->report);
      return;
    }
    this->waiting.push_back(std::move(aAnswerHandler));
    this->StartWaitingCalls();
    this->CheckCapacity();
  }

  std::uint32_t InFlight() const
  {
    return static_cast<std::uint32_t>(this->running.size() +
                                      this->waiting.size());
  }

  /** Returns the number of concurrent calls that the server sustains: all that
   * it accepts, or, while it is cold, a number that grows from 1 to its slots
   * during the warm-up. */
  std::uint32_t Capacity() const
  {
    if (!this->IsCold()) {
      return this->settings.slots + this->settings.backlog;
    }
    const double share =
      std::chrono::duration<double>(this->queue.Now() - this->coldSince) /
      std::chrono::duration<double>(this->settings.warmUpTime);
    return 1 + static_cast<std::uint32_t>(share * (this->settings.slots - 1));
  }

  bool IsCold() const
  {
    return this->cold &&
           this->queue.Now() - this->coldSince < this->settings.warmUpTime;
  }

  bool Healthy() const
  {
    return !this->down && !this->draining && !this->failsFast &&
           !this->IsCold() && this->slowFactor == 1;
  }

  void SetSlow(double aFactor)
  {
    this->slowFactor = aFactor;
    this->UpdateSpeed();
  }

  void SetFailsFast(bool aFails) { this->failsFast = aFails; }

  void Drain() { this->draining = true; }

  /** Turns cold without a restart; calls in flight continue. */
  void TurnColdSilently()
  {
    this->cold = true;
    this->crashesAtOnce = false;
    this->coldSince = this->queue.Now();
    this->UpdateSpeed();
    this->CheckCapacity();
    this->queue.ScheduleAfter(this->settings.warmUpTime,
                              [this] { this->UpdateSpeed(); });
  }

  /** Drops all calls and connections. After `aDownTime` the server is back and
   * cold. */
  void Restart(std::chrono::nanoseconds aDownTime)
  {
    this->down = true;
    ++this->epoch;
    std::vector<AnswerHandler> lost;
    for (auto& call : this->running) {
      lost.push_back(std::move(call.answerHandler));
    }
    for (auto& answerHandler : this->waiting) {
      lost.push_back(std::move(answerHandler));
    }
    this->running.clear();
    this->waiting.clear();
    this->overloadedSince.reset();
    for (const AnswerHandler& answerHandler : lost) {
      answerHandler(routing::SelectionOutcome::ConnectionLost, nullptr);
    }
    if (this->onReset) {
      this->onReset();
    }
    this->queue.ScheduleAfter(aDownTime, [this] {
      this->down = false;
      this->cold = true;
      this->crashesAtOnce = true;
      this->start = this->engine();
      this->coldSince = this->queue.Now();
      this->PublishReport();
      this->queue.ScheduleAfter(this->settings.warmUpTime,
                                [this] { this->UpdateSpeed(); });
      this->UpdateSpeed();
    });
  }

  std::uint64_t Arrived() const { return this->arrived; }
  std::uint64_t Refused() const { return this->refused; }
  std::uint64_t Crashes() const { return this->crashes; }
  std::uint64_t Completed() const { return this->completed; }
  core::TimePoint LastArrival() const { return this->lastArrival; }
  std::chrono::nanoseconds LongestOverload() const
  {
    return this->longestOverload;
  }

  /** Called when the server resets all its connections. */
  std::function<void()> onReset;

private:
  struct Call
  {
    AnswerHandler answerHandler;
    /** Remaining service time at a slowdown of 1. */
    std::chrono::nanoseconds remainingTime;
    std::uint64_t id;
    /** Time of the last update of `remainingTime`. */
    core::TimePoint since;
  };

  static constexpr double kColdSlowdown = 3;

  double CurrentSlowdown() const
  {
    return this->noiseFactor * this->slowFactor *
           (this->IsCold() ? kColdSlowdown : 1);
  }

  void StartWaitingCalls()
  {
    while (!this->waiting.empty() &&
           this->running.size() < this->settings.slots) {
      const double mean =
        std::chrono::duration<double>(this->settings.serviceTime).count();
      constexpr double kSigma = 0.5;
      std::lognormal_distribution<double> time(
        std::log(mean) - kSigma * kSigma / 2, kSigma);
      this->running.push_back(
        Call{ std::move(this->waiting.front()),
              std::chrono::duration_cast<std::chrono::nanoseconds>(
                std::chrono::duration<double>(time(this->engine))),
              this->nextCall++,
              {} });
      this->waiting.pop_front();
      this->ScheduleCompletion(this->running.back());
    }
  }

  void ScheduleCompletion(Call& aCall)
  {
    aCall.since = this->queue.Now();
    const auto delay = std::chrono::duration_cast<std::chrono::nanoseconds>(
      std::chrono::duration<double>(aCall.remainingTime) * this->slowdown);
    this->queue.ScheduleAfter(
      std::max(delay, std::chrono::nanoseconds(0)),
      [this, id = aCall.id, scheduledEpoch = this->epoch] {
        if (scheduledEpoch != this->epoch) {
          return;
        }
        const auto found =
          std::find_if(this->running.begin(),
                       this->running.end(),
                       [&](const Call& aOther) { return aOther.id == id; });
        if (found == this->running.end()) {
          return;
        }
        AnswerHandler answerHandler = std::move(found->answerHandler);
        this->running.erase(found);
        ++this->completed;
        this->StartWaitingCalls();
        this->CheckCapacity();
        answerHandler(routing::SelectionOutcome::Answered, &this->report);
      });
  }

  void UpdateSpeed()
  {
    const double factor = this->CurrentSlowdown();
    ++this->epoch;
    for (Call& call : this->running) {
      const auto elapsed =
        std::chrono::duration<double>(this->queue.Now() - call.since);
      call.remainingTime -=
        std::chrono::duration_cast<std::chrono::nanoseconds>(elapsed /
                                                             this->slowdown);
      call.remainingTime =
        std::max(call.remainingTime, std::chrono::nanoseconds(0));
    }
    this->slowdown = factor;
    for (Call& call : this->running) {
      this->ScheduleCompletion(call);
    }
  }

  void ChangeNoise()
  {
    // The mean of the speeds 1/factor is about 1 (0.98), so that noise hardly
    // changes the capacity.
    constexpr std::array kFactors{ 0.8, 1.0, 1.5, 3.0 };
    std::discrete_distribution<std::size_t> pick({ 0.45, 0.28, 0.15, 0.12 });
    this->noiseFactor = kFactors[pick(this->engine)];
    this->UpdateSpeed();
    this->queue.ScheduleAfter(
      std::chrono::microseconds(5000 + this->engine() % 45000),
      [this] { this->ChangeNoise(); });
  }

  /** Updates the load report with a delay, so that callers read reports that
   * are 50 to 500 ms old. */
  void RefreshReport()
  {
    const routing::LoadReport current = this->CurrentReport();
    this->queue.ScheduleAfter(std::chrono::milliseconds(50), [this, current] {
      if (current.start == this->start) {
        this->report = current;
      }
    });
    this->queue.ScheduleAfter(
      std::chrono::microseconds(this->engine() % 450000),
      [this] { this->RefreshReport(); });
  }

  void PublishReport() { this->report = this->CurrentReport(); }

  routing::LoadReport CurrentReport() const
  {
    auto state = routing::ReportedState::Ready;
    if (this->draining) {
      state = routing::ReportedState::Draining;
    } else if (this->IsCold() && this->settings.reportsCold) {
      state = routing::ReportedState::Cold;
    }
    return { .inFlight = this->InFlight(),
             .slots = this->settings.slots,
             .start = this->start,
             .state = state };
  }

  void CheckCapacity()
  {
    if (this->InFlight() <= this->Capacity()) {
      if (this->overloadedSince) {
        this->longestOverload = std::max<std::chrono::nanoseconds>(
          this->longestOverload, this->queue.Now() - *this->overloadedSince);
      }
      this->overloadedSince.reset();
      return;
    }
    if (this->crashesAtOnce) {
      this->Crash();
      return;
    }
    if (!this->overloadedSince) {
      this->overloadedSince = this->queue.Now();
      this->queue.ScheduleAfter(this->settings.overloadTolerance,
                                [this, since = *this->overloadedSince] {
                                  if (this->overloadedSince == since &&
                                      this->InFlight() > this->Capacity()) {
                                    this->longestOverload =
                                      this->settings.overloadTolerance;
                                    this->Crash();
                                  }
                                });
    }
  }

  void Crash()
  {
    ++this->crashes;
    this->Restart(this->settings.downTime);
  }

  EventQueue& queue;
  Settings settings;
  std::mt19937_64 engine;
  std::deque<AnswerHandler> waiting;
  std::vector<Call> running;
  routing::LoadReport report;
  std::uint64_t start = 0;
  std::uint64_t nextCall = 0;
  /** Invalidates completion events scheduled before the last change of speed or
   * restart. */
  std::uint64_t epoch = 0;
  double noiseFactor = 1;
  double slowFactor = 1;
  double slowdown = 1;
  bool failsFast = false;
  bool draining = false;
  bool down = false;
  bool cold = false;
  /** Whether the server crashes as soon as it exceeds its capacity, without
   * `overloadTolerance`. True after a restart. */
  bool crashesAtOnce = false;
  core::TimePoint coldSince;
  std::optional<core::TimePoint> overloadedSince;
  std::chrono::nanoseconds longestOverload{ 0 };
  std::uint64_t arrived = 0;
  std::uint64_t refused = 0;
  std::uint64_t crashes = 0;
  std::uint64_t completed = 0;
  core::TimePoint lastArrival;
};

} // namespace fireflytrail::bench
