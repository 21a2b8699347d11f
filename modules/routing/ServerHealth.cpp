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

/** A call that takes this many times the typical service time indicates a
 * fault. The factor must exceed the effect of noisy neighbours, which slow
 * calls two- to threefold for up to 50 ms. */
constexpr int kSlowCallFactor = 5;

/** Calls shorter than this never indicate a fault: if calls take 1 ms, a
 * scheduler pause on a busy host alone makes a call five times as long. */
constexpr milliseconds kSlowCallFloor{ 30 };

/** Time without a message from the ramp leader before the first query to it. */
constexpr milliseconds kInitialQueryInterval{ 1000 };

/** Upper bound of the query interval, which doubles with each query. With a
 * constant interval, 19 daemons with 40 cold servers and no calls sent 700 KB/s
 * each. */
constexpr milliseconds kMaximumQueryInterval{ 64'000 };

/** A suspicion expires after this time. Suspicions of different daemons add up
 * until they expire. */
constexpr milliseconds kSuspicionLifetime{ 150 };

/** A daemon that suspects a server sends it no calls for this time, even if no
 * other daemon suspects the server. */
constexpr milliseconds kSuspicionExclusionTime{ 100 };

/** Initial minimum time at each concurrency. Four steps of it and a load report
 * that is 0.5 s old stay below the 2 s within which a server must get its full
 * share. */
constexpr milliseconds kMinimumHoldTime{ 250 };

/** Upper bound of the minimum time at one concurrency, which doubles each time
 * the server fails during the ramp. */
constexpr milliseconds kMaximumHoldTime{ 4000 };

/** Number of answers in a sample whose mean duration decides whether the server
 * is warm. With samples of three answers and a `kWarmFactor` of 2, a server
 * that reported ready while it was still cold was overloaded until it failed in
 * 2 of 6 runs of bench_policies. */
constexpr std::uint64_t kFullSampleAnswers = 20;

/** At a low call rate a sample ends after this time if it has at least
 * `kMinimumSampleAnswers` answers. There are then too few calls to overload the
 * server. */
constexpr milliseconds kSampleTimeout{ 500 };
constexpr std::uint64_t kMinimumSampleAnswers = 3;

/** A server is considered warm if the mean duration of a sample is at most this
 * many times the typical service time. Cold servers take about three times as
 * long. */
constexpr double kWarmFactor = 1.5;

/** A server that remains slow is ramped up anyway after this time without a
 * fault, since it may simply be a slower machine. */
constexpr milliseconds kSlowServerRaiseTime{ 10000 };

/** A server that reported that it is draining gets calls again after this time,
 * unless the host list shows it as leaving: the drain may have been cancelled,
 * and without calls no load report would arrive to show that. */
constexpr milliseconds kDrainRetryDelay{ 30000 };

/** A server counts as failing if its failure ratio exceeds the median of the
 * service's servers by more than `kFailureRatioExcess` and at least
 * `kMinimumFailures` of its calls have failed. */
constexpr double kFailureRatioExcess = 0.5;
constexpr std::uint64_t kMinimumFailures = 3;

/** Minimum time between calls to a failing server, for each daemon that may
 * send it calls. */
constexpr milliseconds kFailingCallInterval{ 100 };

} // namespace

ServerHealth::ServerHealth(std::shared_ptr<ServerLoad> aLoad,
                           std::string aSelf,
                           core::NowFunction aNow,
                           PublishFunction aPublish)
  : load(std::move(aLoad))
  , self(std::move(aSelf))
  , now(std::move(aNow))
  , publish(std::move(aPublish))
  , holdTime(kMinimumHoldTime)
{
  assert(this->load && this->now && this->publish);
  this->SetHosts({});
  this->coldSince = this->now();
  this->leaderContactAt = this->coldSince;
  this->queryInterval = kInitialQueryInterval;
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
  this->rampLeader =
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
ServerHealth::IsRampLeader() const
{
  return this->rampLeader == this->self;
}

void
ServerHealth::SetHostListState(bool aListed, bool aLeaving)
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
    this->startIdentity = 0;
    this->EnterCold(false);
  }
  this->ApplyLimit();
}

void
ServerHealth::OnPeerObservation(std::string_view aPeer,
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
  switch (aObservation.kind) {
    case HealthObservationKind::Suspect:
      this->Suspect(aPeer);
      break;
    case HealthObservationKind::Query:
      if (this->IsRampLeader()) {
        this->PublishObservation(HealthObservationKind::Concurrency);
      }
      break;
    case HealthObservationKind::Cold:
      if (this->state != ServerState::Cold || this->concurrency > 1) {
        this->EnterCold(false);
      }
      break;
    case HealthObservationKind::Draining:
      this->EnterDraining();
      break;
    case HealthObservationKind::Concurrency:
      // A higher concurrency is accepted only from the host that this host
      // considers the ramp leader. A lower one is accepted from any host, since
      // two hosts may both consider themselves the leader.
      if (!this->IsRampLeader() &&
          (aPeer == this->rampLeader ||
           aObservation.concurrency < this->concurrency)) {
        this->leaderContactAt = this->now();
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
ServerHealth::OnConnectionsReset()
{
  if (this->state == ServerState::Gone ||
      this->state == ServerState::Draining) {
    return;
  }
  if (this->state == ServerState::Cold && this->concurrency > 1) {
    // The server failed during the ramp, so the next ramp is slower.
    this->holdTime =
      std::min<nanoseconds>(this->holdTime * 2, kMaximumHoldTime);
  }
  this->EnterCold(false);
  this->PublishObservation(HealthObservationKind::Suspect);
  this->ApplyLimit();
}

void
ServerHealth::Tick(const ServiceStatistics& aStatistics)
{
  const core::TimePoint time = this->now();
  if (this->state == ServerState::Gone) {
    return;
  }
  if (this->state != ServerState::Draining &&
      this->load->State() == ReportedState::Draining) {
    this->EnterDraining();
    this->PublishObservation(HealthObservationKind::Draining);
  }
  if (this->state == ServerState::Draining) {
    if (!this->leaving && time - this->drainingSince >= kDrainRetryDelay) {
      this->load->ClearReportedState();
      this->EnterCold(false);
    }
    this->ApplyLimit();
    return;
  }
  if (!this->IsRampLeader() && this->state != ServerState::Ready &&
      aStatistics.hasDemand &&
      time - this->leaderContactAt >= this->queryInterval) {
    // The ramp leader may not have detected the fault that this daemon
    // detected, or its message was lost.
    this->leaderContactAt = time;
    this->queryInterval =
      std::min<nanoseconds>(this->queryInterval * 2, kMaximumQueryInterval);
    this->PublishObservation(HealthObservationKind::Query);
  }
  this->CheckLoad(aStatistics);
  this->CheckFailures(aStatistics);
  this->CheckRamp(aStatistics);
  this->lastTotals = this->load->Counts();
  this->ApplyLimit();
}

void
ServerHealth::CheckLoad(const ServiceStatistics& aStatistics)
{
  const core::TimePoint time = this->now();
  // Reports from before the server turned cold are ignored as outdated: this
  // daemon may not have received an answer since.
  const bool hasNewReport = this->HasReportSince(this->coldSince);
  const std::uint64_t reportedStart =
    hasNewReport ? this->load->ReportedStart() : 0;
  const bool restarted = this->startIdentity != 0 && reportedStart != 0 &&
                         reportedStart != this->startIdentity;
  this->startIdentity = reportedStart;
  const bool atMinimumConcurrency =
    this->state == ServerState::Cold && this->concurrency == 1;
  if (restarted || (this->load->State() == ReportedState::Cold &&
                    this->state == ServerState::Ready &&
                    this->HasReportSince(this->windowStart))) {
    this->EnterCold(true);
    return;
  }
  const ServerLoad::Totals totals = this->load->Counts();
  const bool lost = totals.lost > this->lastTotals.lost;
  bool slow = false;
  if (aStatistics.serviceTime.count() > 0 && !atMinimumConcurrency) {
    const nanoseconds limit = std::max<nanoseconds>(
      aStatistics.serviceTime * kSlowCallFactor, kSlowCallFloor);
    slow = this->load->OldestInFlight(time) > limit ||
           (totals.answered > this->lastTotals.answered &&
            (totals.answeredTime - this->lastTotals.answeredTime) >
              limit * (totals.answered - this->lastTotals.answered));
  }
  if (lost && atMinimumConcurrency) {
    if (totals.answered > this->sampleTotals.answered) {
      // The server failed although it got only one call at a time, so the next
      // raise is delayed further.
      this->holdTime =
        std::min<nanoseconds>(this->holdTime * 2, kMaximumHoldTime);
    }
    this->StartWindow();
  }
  if ((lost || slow) && time >= this->excludedUntil) {
    this->excludedUntil = time + kSuspicionExclusionTime;
    this->PublishObservation(HealthObservationKind::Suspect);
    this->Suspect(this->self);
  }
}

void
ServerHealth::CheckFailures(const ServiceStatistics& aStatistics)
{
  const ServerLoad::Totals totals = this->load->Counts();
  if (this->state == ServerState::FailingFast) {
    if (this->load->FailureRatio() <
        aStatistics.failureRatio + kFailureRatioExcess / 2) {
      this->EnterCold(false);
    }
    return;
  }
  const bool failing = this->load->FailureRatio() >
                         aStatistics.failureRatio + kFailureRatioExcess &&
                       totals.failed > this->lastTotals.failed &&
                       totals.failed >= kMinimumFailures;
  if (failing) {
    this->state = ServerState::FailingFast;
    this->concurrency = 1;
    this->PublishObservation(HealthObservationKind::Suspect);
  }
}

void
ServerHealth::CheckRamp(const ServiceStatistics& aStatistics)
{
  if (this->state != ServerState::Cold || !this->IsRampLeader()) {
    return;
  }
  const core::TimePoint time = this->now();
  const ServerLoad::Totals totals = this->load->Counts();
  const std::uint64_t answers = totals.answered - this->sampleTotals.answered;
  if (answers < kFullSampleAnswers &&
      (answers < kMinimumSampleAnswers ||
       time - this->sampleStart < kSampleTimeout)) {
    return;
  }
  const std::chrono::duration<double> mean =
    std::chrono::duration<double>(totals.answeredTime -
                                  this->sampleTotals.answeredTime) /
    static_cast<double>(answers);
  const bool warm = this->load->State() != ReportedState::Cold &&
                    (aStatistics.serviceTime.count() == 0 ||
                     mean <= aStatistics.serviceTime * kWarmFactor ||
                     time - this->windowStart >= kSlowServerRaiseTime);
  if (!warm) {
    this->StartSample();
  } else if (time - this->windowStart >= this->holdTime) {
    this->RaiseConcurrency();
  }
}

void
ServerHealth::RaiseConcurrency()
{
  const std::uint32_t slots = this->load->Slots();
  this->SetConcurrency(this->concurrency >= slots
                         ? kUnrestricted
                         : std::min(this->concurrency * 2, slots));
  if (this->concurrency == kUnrestricted) {
    this->holdTime = kMinimumHoldTime;
  }
  this->PublishObservation(HealthObservationKind::Concurrency);
}

void
ServerHealth::EnterCold(bool aNotifyPeers)
{
  this->state = ServerState::Cold;
  this->concurrency = 1;
  this->coldSince = this->now();
  this->leaderContactAt = this->coldSince;
  this->queryInterval = kInitialQueryInterval;
  this->startIdentity = 0;
  this->suspects.clear();
  this->StartWindow();
  if (aNotifyPeers) {
    this->PublishObservation(HealthObservationKind::Cold);
  }
}

void
ServerHealth::EnterDraining()
{
  this->state = ServerState::Draining;
  this->drainingSince = this->now();
}

void
ServerHealth::SetConcurrency(std::uint32_t aConcurrency)
{
  this->concurrency = aConcurrency;
  this->state =
    aConcurrency == kUnrestricted ? ServerState::Ready : ServerState::Cold;
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
  if (this->suspects.size() >= this->RequiredSuspicions() &&
      (this->state == ServerState::Ready ||
       (this->state == ServerState::Cold && this->concurrency > 1))) {
    this->EnterCold(false);
  }
}

void
ServerHealth::PublishObservation(HealthObservationKind aKind)
{
  this->publish({ .serverId = this->load->Identity().id,
                  .kind = aKind,
                  .concurrency = this->concurrency });
}

bool
ServerHealth::HasReportSince(core::TimePoint aTime) const
{
  const auto reportedAt = this->load->ReportedAt();
  return reportedAt && *reportedAt > aTime;
}

std::size_t
ServerHealth::RequiredSuspicions() const
{
  // In a small fleet, it is unlikely that a second host uses the server at the
  // same time and can confirm the suspicion.
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
  nanoseconds minimumInterval{ 0 };
  switch (this->state) {
    case ServerState::Ready:
      limit = this->now() < this->excludedUntil ? 0 : ServerLoad::kUnlimited;
      break;
    case ServerState::Cold:
      limit = this->ShareOf(this->concurrency);
      break;
    case ServerState::FailingFast:
      limit = this->ShareOf(1);
      minimumInterval = kFailingCallInterval;
      break;
    case ServerState::Draining:
    case ServerState::Gone:
      break;
  }
  this->load->SetLimit(limit);
  this->load->SetMinimumInterval(minimumInterval);
}

} // namespace fireflytrail::routing
