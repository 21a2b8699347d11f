#include "routing/ServerHealth.h"

#include "core/Hash.h"
#include "routing/SharedLimit.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace fireflytrail::routing {

namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

/** A call that takes this many times the usual is a sign of a fault. Noisy
 * neighbours slow calls two- to threefold for up to 50 ms. */
constexpr int kSuspectFactor = 5;

/** Calls shorter than this are no sign of a fault: with calls of 1 ms a pause
 * of the scheduler on a busy host is five times the usual. */
constexpr milliseconds kSuspectFloor{ 30 };

/** Time without a word of the leader after which it is asked. */
constexpr milliseconds kQueryInterval{ 1000 };

/** With a constant interval, 19 daemons with 40 cold servers and no calls sent
 * 700 KB a second each. */
constexpr milliseconds kLongestQueryInterval{ 64'000 };

/** Suspicions of different daemons within this time add up. */
constexpr milliseconds kSuspicionLifetime{ 150 };

/** A daemon that suspects a server alone leaves it out for this time. */
constexpr milliseconds kSuspicionPause{ 100 };

/** Least time at each concurrency. Four steps of it and a report that is 0.5 s
 * old stay below the 2 s in which a server must get its full share. */
constexpr milliseconds kHold{ 250 };

/** Longest time at one concurrency after repeated falls. */
constexpr milliseconds kMaximumHold{ 4000 };

/** Answers in a sample, and the mean time of it, relative to the usual, up to
 * which the server is taken as warm. Cold servers take about three times as
 * long. With samples of three answers and a factor of 2 a server that reported
 * ready while it was cold was pushed over in 2 of 6 runs of bench_policies. */
constexpr std::uint64_t kSampleAnswers = 20;

/** With few calls a sample ends after this time, with at least so many
 * answers; there are then few calls that could push the server over. */
constexpr milliseconds kSampleTime{ 500 };
constexpr std::uint64_t kFewAnswers = 3;

constexpr double kWarmFactor = 1.5;

/** After this time without a fault a server that stays slow is ramped up
 * nevertheless: it may just be a slower one. */
constexpr milliseconds kSlowRaise{ 10000 };

/** A server that reported that it drains, and that the host list does not show
 * as leaving after this time, is tried again: the drain may have been undone,
 * and without calls no report would tell. */
constexpr milliseconds kDrainRetry{ 30000 };

/** Share of failed calls above that of the other servers, and number of failed
 * calls, from which a server counts as failing. */
constexpr double kFailingExcess = 0.5;
constexpr std::uint64_t kFailuresNeeded = 3;

/** Time between calls to a failing server, per daemon that may send any. */
constexpr milliseconds kFailingPace{ 100 };

} // namespace

ServerHealth::ServerHealth(std::shared_ptr<ServerLoad> aLoad,
                           std::string aSelf,
                           core::NowFunction aNow,
                           PublishFunction aPublish)
  : load(std::move(aLoad))
  , self(std::move(aSelf))
  , now(std::move(aNow))
  , publish(std::move(aPublish))
  , hold(kHold)
{
  assert(this->load && this->now && this->publish);
  this->SetHosts({});
  this->coldSince = this->now();
  this->leaderHeardAt = this->coldSince;
  this->queryInterval = kQueryInterval;
  this->StartWindow();
}

void
ServerHealth::SetHosts(std::vector<std::string> aHosts)
{
  if (std::find(aHosts.begin(), aHosts.end(), this->self) == aHosts.end()) {
    aHosts.push_back(this->self);
  }
  this->hosts = std::move(aHosts);
  this->shareConcurrency = 0;
  const std::string& id = this->load->Identity().id;
  this->leader =
    *std::max_element(this->hosts.begin(),
                      this->hosts.end(),
                      [&](const std::string& aLeft, const std::string& aRight) {
                        return std::pair(core::RendezvousWeight(id, aLeft),
                                         std::string_view(aLeft)) <
                               std::pair(core::RendezvousWeight(id, aRight),
                                         std::string_view(aRight));
                      });
  this->ApplyLimit();
}

bool
ServerHealth::Leads() const
{
  return this->leader == this->self;
}

void
ServerHealth::SetListed(bool aListed, bool aLeaving)
{
  const bool returned =
    (aListed && !this->listed) || (!aLeaving && this->leaving);
  this->listed = aListed;
  this->leaving = aLeaving;
  if (!aListed) {
    this->state = ServerState::Gone;
  } else if (aLeaving) {
    this->state = ServerState::Draining;
  } else if (returned) {
    this->load->ClearReportedState();
    this->start = 0;
    this->TurnCold(false);
  }
  this->ApplyLimit();
}

void
ServerHealth::PeerObserved(std::string_view aPeer,
                           const HealthObservation& aObservation)
{
  if (this->state == ServerState::Gone ||
      this->state == ServerState::Draining) {
    return;
  }
  if (aObservation.sequence != 0) {
    auto known = this->sequences.find(aPeer);
    if (known == this->sequences.end()) {
      known = this->sequences.emplace(aPeer, 0).first;
    }
    if (std::exchange(known->second, aObservation.sequence) ==
        aObservation.sequence) {
      return;
    }
  }
  switch (aObservation.evidence) {
    case HealthEvidence::Suspect:
      this->Suspect(aPeer);
      break;
    case HealthEvidence::Query:
      if (this->Leads()) {
        this->PublishEvidence(HealthEvidence::Concurrency);
      }
      break;
    case HealthEvidence::Cold:
      if (this->state != ServerState::Cold || this->concurrency > 1) {
        this->TurnCold(false);
      }
      break;
    case HealthEvidence::Draining:
      this->TurnDraining();
      break;
    case HealthEvidence::Concurrency:
      // A raise counts only from the host that leads by this host's view. The
      // smaller value counts from anyone, since two may believe that they lead.
      if (!this->Leads() && (aPeer == this->leader ||
                             aObservation.concurrency < this->concurrency)) {
        this->leaderHeardAt = this->now();
        if (aObservation.concurrency != this->concurrency ||
            this->state == ServerState::FailingFast) {
          this->load->ClearFailures();
          this->SetConcurrency(aObservation.concurrency);
        }
      }
      break;
  }
  this->ApplyLimit();
}

void
ServerHealth::ConnectionsReset()
{
  if (this->state == ServerState::Gone ||
      this->state == ServerState::Draining) {
    return;
  }
  if (this->state == ServerState::Cold && this->concurrency > 1) {
    // It fell during the ramp: the next one is slower.
    this->hold = std::min<nanoseconds>(this->hold * 2, kMaximumHold);
  }
  this->TurnCold(false);
  this->PublishEvidence(HealthEvidence::Suspect);
  this->ApplyLimit();
}

void
ServerHealth::Tick(const Peers& aPeers)
{
  const core::TimePoint time = this->now();
  if (this->state == ServerState::Gone) {
    return;
  }
  if (this->state != ServerState::Draining &&
      this->load->State() == ReportedState::Draining) {
    this->TurnDraining();
    this->PublishEvidence(HealthEvidence::Draining);
  }
  if (this->state == ServerState::Draining) {
    if (!this->leaving && time - this->drainingSince >= kDrainRetry) {
      this->load->ClearReportedState();
      this->TurnCold(false);
    }
    this->ApplyLimit();
    return;
  }
  if (!this->Leads() && this->state != ServerState::Ready && aPeers.hasDemand &&
      time - this->leaderHeardAt >= this->queryInterval) {
    // The leader may not have seen what this daemon saw, or its word was lost.
    this->leaderHeardAt = time;
    this->queryInterval =
      std::min<nanoseconds>(this->queryInterval * 2, kLongestQueryInterval);
    this->PublishEvidence(HealthEvidence::Query);
  }
  this->CheckLoad(aPeers);
  this->CheckFailures(aPeers);
  this->CheckRamp(aPeers);
  this->lastTotals = this->load->Counts();
  this->ApplyLimit();
}

void
ServerHealth::CheckLoad(const Peers& aPeers)
{
  const core::TimePoint time = this->now();
  // A report from before the server turned cold tells nothing new: this daemon
  // may have had no answer since.
  const bool fresh = this->ReportedSince(this->coldSince);
  const std::uint64_t reported = fresh ? this->load->ReportedStart() : 0;
  const bool restarted =
    this->start != 0 && reported != 0 && reported != this->start;
  this->start = reported;
  const bool restricted =
    this->state == ServerState::Cold && this->concurrency == 1;
  if (restarted || (this->load->State() == ReportedState::Cold &&
                    this->state == ServerState::Ready &&
                    this->ReportedSince(this->windowStart))) {
    this->TurnCold(true);
    return;
  }
  const ServerLoad::Totals totals = this->load->Counts();
  const bool lost = totals.lost > this->lastTotals.lost;
  bool slow = false;
  if (aPeers.serviceTime.count() > 0 && !restricted) {
    const nanoseconds limit =
      std::max<nanoseconds>(aPeers.serviceTime * kSuspectFactor, kSuspectFloor);
    slow = this->load->OldestInFlight(time) > limit ||
           (totals.answered > this->lastTotals.answered &&
            (totals.answeredTime - this->lastTotals.answeredTime) >
              limit * (totals.answered - this->lastTotals.answered));
  }
  if (lost && restricted) {
    if (totals.answered > this->sampleTotals.answered) {
      // It fell although only one call at a time was sent: wait longer.
      this->hold = std::min<nanoseconds>(this->hold * 2, kMaximumHold);
    }
    this->StartWindow();
  }
  if ((lost || slow) && time >= this->suspectedUntil) {
    this->suspectedUntil = time + kSuspicionPause;
    this->PublishEvidence(HealthEvidence::Suspect);
    this->Suspect(this->self);
  }
}

void
ServerHealth::CheckFailures(const Peers& aPeers)
{
  const ServerLoad::Totals totals = this->load->Counts();
  if (this->state == ServerState::FailingFast) {
    if (this->load->FailureRatio() < aPeers.failureRatio + kFailingExcess / 2) {
      this->TurnCold(false);
    }
    return;
  }
  const bool failing =
    this->load->FailureRatio() > aPeers.failureRatio + kFailingExcess &&
    totals.failed > this->lastTotals.failed && totals.failed >= kFailuresNeeded;
  if (failing) {
    this->state = ServerState::FailingFast;
    this->concurrency = 1;
    this->PublishEvidence(HealthEvidence::Suspect);
  }
}

void
ServerHealth::CheckRamp(const Peers& aPeers)
{
  if (this->state != ServerState::Cold || !this->Leads()) {
    return;
  }
  const core::TimePoint time = this->now();
  const ServerLoad::Totals totals = this->load->Counts();
  const std::uint64_t answers = totals.answered - this->sampleTotals.answered;
  if (answers < kSampleAnswers &&
      (answers < kFewAnswers || time - this->sampleStart < kSampleTime)) {
    return;
  }
  const std::chrono::duration<double> mean =
    std::chrono::duration<double>(totals.answeredTime -
                                  this->sampleTotals.answeredTime) /
    static_cast<double>(answers);
  const bool warm = this->load->State() != ReportedState::Cold &&
                    (aPeers.serviceTime.count() == 0 ||
                     mean <= aPeers.serviceTime * kWarmFactor ||
                     time - this->windowStart >= kSlowRaise);
  if (!warm) {
    this->StartSample();
  } else if (time - this->windowStart >= this->hold) {
    this->Raise();
  }
}

void
ServerHealth::Raise()
{
  const std::uint32_t slots = this->load->Slots();
  this->SetConcurrency(this->concurrency >= slots
                         ? kFull
                         : std::min(this->concurrency * 2, slots));
  if (this->concurrency == kFull) {
    this->hold = kHold;
  }
  this->PublishEvidence(HealthEvidence::Concurrency);
}

void
ServerHealth::TurnCold(bool aStrong)
{
  this->state = ServerState::Cold;
  this->concurrency = 1;
  this->coldSince = this->now();
  this->leaderHeardAt = this->coldSince;
  this->queryInterval = kQueryInterval;
  this->start = 0;
  this->suspects.clear();
  this->StartWindow();
  if (aStrong) {
    this->PublishEvidence(HealthEvidence::Cold);
  }
}

void
ServerHealth::TurnDraining()
{
  this->state = ServerState::Draining;
  this->drainingSince = this->now();
}

void
ServerHealth::SetConcurrency(std::uint32_t aConcurrency)
{
  this->concurrency = aConcurrency;
  this->state = aConcurrency == kFull ? ServerState::Ready : ServerState::Cold;
  this->StartWindow();
}

void
ServerHealth::Suspect(std::string_view aDaemon)
{
  const core::TimePoint time = this->now();
  this->suspects.insert_or_assign(std::string(aDaemon), time);
  std::erase_if(this->suspects, [&](const auto& aEntry) {
    return time - aEntry.second > kSuspicionLifetime;
  });
  if (this->suspects.size() >= this->SuspectsNeeded() &&
      (this->state == ServerState::Ready ||
       (this->state == ServerState::Cold && this->concurrency > 1))) {
    this->TurnCold(false);
  }
}

void
ServerHealth::PublishEvidence(HealthEvidence aEvidence)
{
  this->publish({ .serverId = this->load->Identity().id,
                  .evidence = aEvidence,
                  .concurrency = this->concurrency });
}

bool
ServerHealth::ReportedSince(core::TimePoint aTime) const
{
  const auto reportedAt = this->load->ReportedAt();
  return reportedAt && *reportedAt > aTime;
}

std::size_t
ServerHealth::SuspectsNeeded() const
{
  // With few hosts too few use one server at the same time to agree.
  return this->hosts.size() <= 3 ? 1 : 2;
}

void
ServerHealth::StartWindow()
{
  this->windowStart = this->now();
  this->StartSample();
}

void
ServerHealth::StartSample()
{
  this->sampleTotals = this->load->Counts();
  this->sampleStart = this->now();
}

std::uint32_t
ServerHealth::ShareOf(std::uint32_t aConcurrency)
{
  if (this->shareConcurrency != aConcurrency) {
    this->shareConcurrency = aConcurrency;
    this->share = SharedLimit::ShareOf(
      this->load->Identity().id, aConcurrency, this->self, this->hosts);
  }
  return this->share;
}

void
ServerHealth::ApplyLimit()
{
  std::uint32_t limit = 0;
  nanoseconds pace{ 0 };
  switch (this->state) {
    case ServerState::Ready:
      limit = this->now() < this->suspectedUntil ? 0 : ServerLoad::kUnlimited;
      break;
    case ServerState::Cold:
      limit = this->ShareOf(this->concurrency);
      break;
    case ServerState::FailingFast:
      limit = this->ShareOf(1);
      pace = kFailingPace;
      break;
    case ServerState::Draining:
    case ServerState::Gone:
      break;
  }
  this->load->SetLimit(limit);
  this->load->SetPace(pace);
}

} // namespace fireflytrail::routing
