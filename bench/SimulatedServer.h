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
 * Backend server with slots, a queue, noisy neighbours, stale load reports and
 * faults. Its speed changes every 5 to 50 ms also for the calls that run.
 */
class SimulatedServer
{
public:
  /** Gets the outcome of a call and the report on the answer. */
  using Answer =
    std::function<void(routing::SelectionOutcome, const routing::LoadReport*)>;

  struct Settings
  {
    std::uint32_t slots = 4;
    /** Calls that wait for a slot; more are refused. */
    std::uint32_t backlog = 4;
    std::chrono::nanoseconds serviceTime = std::chrono::milliseconds(10);
    std::chrono::nanoseconds warmTime = std::chrono::seconds(4);
    std::chrono::nanoseconds downTime = std::chrono::seconds(1);
    /** Time for which a server that turned cold under load survives more calls
     * than it bears. */
    std::chrono::nanoseconds excessTime = std::chrono::milliseconds(250);
    bool noise = true;
    /** Whether reports say `cold`; otherwise a cold server reports ready. */
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

  /** A call arrives. The answer is given without network delay. */
  void Handle(Answer aAnswer)
  {
    ++this->arrived;
    this->lastArrival = this->queue.Now();
    if (this->down) {
      aAnswer(routing::SelectionOutcome::ConnectFailed, nullptr);
      return;
    }
    if (this->draining) {
      ++this->refused;
      aAnswer(routing::SelectionOutcome::Refused, &this->report);
      return;
    }
    if (this->failsFast) {
      this->queue.After(
        std::chrono::microseconds(100), [this, answer = std::move(aAnswer)] {
          answer(routing::SelectionOutcome::Failed, &this->report);
        });
      return;
    }
    if (this->InFlight() >= this->settings.slots + this->settings.backlog) {
      ++this->refused;
      aAnswer(routing::SelectionOutcome::Refused, &this->report);
      return;
    }
    this->waiting.push_back(std::move(aAnswer));
    this->StartWaiting();
    this->CheckCapacity();
  }

  std::uint32_t InFlight() const
  {
    return static_cast<std::uint32_t>(this->running.size() +
                                      this->waiting.size());
  }

  /** Calls that the server bears at once: all that it accepts unless it is
   * cold, then 1 at first and as many as its slots at the end. */
  std::uint32_t Capacity() const
  {
    if (!this->IsCold()) {
      return this->settings.slots + this->settings.backlog;
    }
    const double share =
      std::chrono::duration<double>(this->queue.Now() - this->coldSince) /
      std::chrono::duration<double>(this->settings.warmTime);
    return 1 + static_cast<std::uint32_t>(share * (this->settings.slots - 1));
  }

  bool IsCold() const
  {
    return this->cold &&
           this->queue.Now() - this->coldSince < this->settings.warmTime;
  }

  bool Healthy() const
  {
    return !this->down && !this->draining && !this->failsFast &&
           !this->IsCold() && this->slowFactor == 1;
  }

  void SetSlow(double aFactor)
  {
    this->slowFactor = aFactor;
    this->ChangeSpeed();
  }

  void SetFailsFast(bool aFails) { this->failsFast = aFails; }

  void Drain() { this->draining = true; }

  /** Turns cold without a restart, with its calls in flight. */
  void TurnColdSilently()
  {
    this->cold = true;
    this->strict = false;
    this->coldSince = this->queue.Now();
    this->ChangeSpeed();
    this->CheckCapacity();
    this->queue.After(this->settings.warmTime, [this] { this->ChangeSpeed(); });
  }

  /** Loses its calls and connections and comes back cold after `aDownTime`. */
  void Restart(std::chrono::nanoseconds aDownTime)
  {
    this->down = true;
    ++this->epoch;
    std::vector<Answer> lost;
    for (auto& call : this->running) {
      lost.push_back(std::move(call.answer));
    }
    for (auto& answer : this->waiting) {
      lost.push_back(std::move(answer));
    }
    this->running.clear();
    this->waiting.clear();
    this->excessSince.reset();
    for (const Answer& answer : lost) {
      answer(routing::SelectionOutcome::ConnectionLost, nullptr);
    }
    if (this->onReset) {
      this->onReset();
    }
    this->queue.After(aDownTime, [this] {
      this->down = false;
      this->cold = true;
      this->strict = true;
      this->start = this->engine();
      this->coldSince = this->queue.Now();
      this->PublishReport();
      this->queue.After(this->settings.warmTime,
                        [this] { this->ChangeSpeed(); });
      this->ChangeSpeed();
    });
  }

  std::uint64_t Arrived() const { return this->arrived; }
  std::uint64_t Refused() const { return this->refused; }
  std::uint64_t Falls() const { return this->falls; }
  std::uint64_t Completed() const { return this->completed; }
  core::TimePoint LastArrival() const { return this->lastArrival; }
  std::chrono::nanoseconds LongestExcess() const { return this->longestExcess; }

  /** Called when the server breaks all its connections. */
  std::function<void()> onReset;

private:
  struct Call
  {
    Answer answer;
    /** Time that the rest takes at speed 1. */
    std::chrono::nanoseconds work;
    std::uint64_t id;
    /** Time from which `work` has not been updated. */
    core::TimePoint since;
  };

  static constexpr double kColdFactor = 3;

  double Factor() const
  {
    return this->noiseFactor * this->slowFactor *
           (this->IsCold() ? kColdFactor : 1);
  }

  void StartWaiting()
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
      this->Schedule(this->running.back());
    }
  }

  void Schedule(Call& aCall)
  {
    aCall.since = this->queue.Now();
    const auto delay = std::chrono::duration_cast<std::chrono::nanoseconds>(
      std::chrono::duration<double>(aCall.work) * this->speedFactor);
    this->queue.After(
      std::max(delay, std::chrono::nanoseconds(0)),
      [this, id = aCall.id, at = this->epoch] {
        if (at != this->epoch) {
          return;
        }
        const auto found =
          std::find_if(this->running.begin(),
                       this->running.end(),
                       [&](const Call& aOther) { return aOther.id == id; });
        if (found == this->running.end()) {
          return;
        }
        Answer answer = std::move(found->answer);
        this->running.erase(found);
        ++this->completed;
        this->StartWaiting();
        this->CheckCapacity();
        answer(routing::SelectionOutcome::Answered, &this->report);
      });
  }

  void ChangeSpeed()
  {
    const double factor = this->Factor();
    ++this->epoch;
    for (Call& call : this->running) {
      const auto done =
        std::chrono::duration<double>(this->queue.Now() - call.since);
      call.work -= std::chrono::duration_cast<std::chrono::nanoseconds>(
        done / this->speedFactor);
      call.work = std::max(call.work, std::chrono::nanoseconds(0));
    }
    this->speedFactor = factor;
    for (Call& call : this->running) {
      this->Schedule(call);
    }
  }

  void ChangeNoise()
  {
    // The mean of the speeds 1/factor is 1, so that noise does not change the
    // capacity.
    constexpr std::array kFactors{ 0.8, 1.0, 1.5, 3.0 };
    std::discrete_distribution<std::size_t> pick({ 0.45, 0.28, 0.15, 0.12 });
    this->noiseFactor = kFactors[pick(this->engine)];
    this->ChangeSpeed();
    this->queue.After(std::chrono::microseconds(5000 + this->engine() % 45000),
                      [this] { this->ChangeNoise(); });
  }

  /** Reports are 50 to 500 ms old when a caller reads them. */
  void RefreshReport()
  {
    const routing::LoadReport current = this->Current();
    this->queue.After(std::chrono::milliseconds(50), [this, current] {
      if (current.start == this->start) {
        this->report = current;
      }
    });
    this->queue.After(std::chrono::microseconds(this->engine() % 450000),
                      [this] { this->RefreshReport(); });
  }

  void PublishReport() { this->report = this->Current(); }

  routing::LoadReport Current() const
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
      if (this->excessSince) {
        this->longestExcess = std::max<std::chrono::nanoseconds>(
          this->longestExcess, this->queue.Now() - *this->excessSince);
      }
      this->excessSince.reset();
      return;
    }
    if (this->strict) {
      this->FallOver();
      return;
    }
    if (!this->excessSince) {
      this->excessSince = this->queue.Now();
      this->queue.After(this->settings.excessTime,
                        [this, since = *this->excessSince] {
                          if (this->excessSince == since &&
                              this->InFlight() > this->Capacity()) {
                            this->longestExcess = this->settings.excessTime;
                            this->FallOver();
                          }
                        });
    }
  }

  void FallOver()
  {
    ++this->falls;
    this->Restart(this->settings.downTime);
  }

  EventQueue& queue;
  Settings settings;
  std::mt19937_64 engine;
  std::deque<Answer> waiting;
  std::vector<Call> running;
  routing::LoadReport report;
  std::uint64_t start = 0;
  std::uint64_t nextCall = 0;
  std::uint64_t epoch = 0;
  double noiseFactor = 1;
  double slowFactor = 1;
  double speedFactor = 1;
  bool failsFast = false;
  bool draining = false;
  bool down = false;
  bool cold = false;
  bool strict = false;
  core::TimePoint coldSince;
  std::optional<core::TimePoint> excessSince;
  std::chrono::nanoseconds longestExcess{ 0 };
  std::uint64_t arrived = 0;
  std::uint64_t refused = 0;
  std::uint64_t falls = 0;
  std::uint64_t completed = 0;
  core::TimePoint lastArrival;
};

} // namespace fireflytrail::bench
