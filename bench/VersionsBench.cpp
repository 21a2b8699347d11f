/**
 * Monte Carlo simulation of version moves: 19 daemons with gossip delay,
 * servers whose speed changes every 5 to 50 ms, and versions with different
 * faults. Prints one line for each kind of version, with one block of columns
 * for each value of the setting weighs_most.
 */

#include "configuration/configuration.h"
#include "moves/moves.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <cmath>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <vector>

DEFINE_int32(runs,
             100,
             "runs of each kind of version and value of weighs_most");
DEFINE_uint64(seed, 1, "seed of the first run");
DEFINE_double(rate, 1000, "calls a second of the service, all daemons");
DEFINE_double(seconds,
              300,
              "seconds from the request of the move to its set time");
DEFINE_int32(threads, 3, "number of threads that execute the runs");
DEFINE_string(kind,
              "",
              "runs only kinds of versions whose name contains this text");
DEFINE_string(thin_evidence,
              "take_back",
              "action on thin evidence at the set time, take_back or finish");

namespace fireflytrail::bench {

namespace {

using configuration::PrimaryCriterion;
using core::WallTimePoint;
using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr std::size_t kDaemons = 19;
constexpr std::size_t kServers = 20;
constexpr std::array<const char*, 3> kDomains = { "a", "b", "c" };
constexpr double kRareRouteShare = 0.02;
constexpr double kBaseFailureRatio = 0.001;
constexpr milliseconds kStep{ 250 };
constexpr int kStepsPerSecond = 4;

/** Rate that modules/gossip/GossipSettings.h gives for 19 hosts. */
constexpr double kPacedBytesPerSecond = 400 + 22 * (40 - 19);
/** Key, version and framing of a record. */
constexpr std::size_t kRecordOverheadBytes = 30;
constexpr double kPushIntervalSeconds = 2;

/** Kind of version: which fault it has, and when the fault shows. */
struct VersionKind
{
  std::string name;
  bool isBad = false;
  bool isNoisy = false;
  /** Share of affected calls that fail. */
  double failureRatio = 0;
  /** Share of affected calls that are slower, and by which factor. */
  double slowCallRatio = 0;
  double slowFactor = 1;
  /** Start of the fault as a share of the time between `Move::requestTime` and
   * `Move::setTime`. */
  double begin = 0;
  /** The fault shows only from this share of the new version on. */
  double minShare = 0;
  bool isRareRouteOnly = false;
};

std::vector<VersionKind>
VersionKinds()
{
  return {
    { .name = "good, quiet servers" },
    { .name = "good, noisy servers", .isNoisy = true },
    { .name = "20 % fail at once", .isBad = true, .failureRatio = 0.2 },
    { .name = "2 % fail at once", .isBad = true, .failureRatio = 0.02 },
    { .name = "1 % fail at once", .isBad = true, .failureRatio = 0.01 },
    { .name = "10 % fail, from 40 % of the time",
      .isBad = true,
      .failureRatio = 0.1,
      .begin = 0.4 },
    { .name = "10 % fail, after the set time",
      .isBad = true,
      .failureRatio = 0.1,
      .begin = 1.02 },
    { .name = "20 % fail above a share of 0.5",
      .isBad = true,
      .failureRatio = 0.2,
      .minShare = 0.5 },
    { .name = "50 % fail on a route with 2 % of calls",
      .isBad = true,
      .failureRatio = 0.5,
      .isRareRouteOnly = true },
    { .name = "all 2 times slower, noisy",
      .isBad = true,
      .isNoisy = true,
      .slowCallRatio = 1,
      .slowFactor = 2 },
    { .name = "all 1.5 times slower, noisy",
      .isBad = true,
      .isNoisy = true,
      .slowCallRatio = 1,
      .slowFactor = 1.5 },
    { .name = "10 % are 10 times slower, noisy",
      .isBad = true,
      .isNoisy = true,
      .slowCallRatio = 0.1,
      .slowFactor = 10 },
    { .name = "all 3 times slower above 0.5, noisy",
      .isBad = true,
      .isNoisy = true,
      .slowCallRatio = 1,
      .slowFactor = 3,
      .minShare = 0.5 },
    { .name = "3 times slower, route with 2 %, noisy",
      .isBad = true,
      .isNoisy = true,
      .slowCallRatio = 1,
      .slowFactor = 3,
      .isRareRouteOnly = true },
  };
}

/** Result of one run. Times are in seconds, negative if the event did not
 * happen. */
struct RunResult
{
  /** Calls that the fault slowed or made fail, as a share of all calls. */
  double harmedShare = 0;
  /** Largest share of calls to the new version while the move waited for
   * evidence at its first share. */
  double shareBeforeEvidence = 0;
  /** From the first harmed call until no daemon uses the new version. */
  double timeToTakenBack = -1;
  /** Time until the version was taken back, counted from when the pooled
   * evidence of all daemons began to show the fault without interruption. */
  double delayAfterEvidence = -1;
  /** The same, counted from when the pooled evidence first showed the fault. */
  double delayAfterFirstEvidence = -1;
  /** Size of the largest gossip record. */
  double recordBytes = 0;
  bool isTakenBack = false;
  /** Taken back because there was too little evidence ("thin evidence") for a
   * verdict at the set time. */
  bool isThin = false;
  bool isFinishedInTime = false;
};

/** Server whose speed changes every 5 to 50 ms if it has noisy neighbours. */
struct Server
{
  /** Factor by which calls are slower until `validUntil`, a time in seconds. */
  double factor = 1;
  double validUntil = 0;
};

configuration::OperatorText
TextFor(PrimaryCriterion aWeight)
{
  const std::string text = fmt::format(
    R"({{ "name": "bench", "weighs_most": "{}",
      "regions": {{ "north": ["a", "b", "c"] }},
      "services": {{ "service": {{ "slots": 4, "version": "1", "calls": {{
        "main": {{ "method": "GET", "path": "/main", "deadline_ms": 2000 }},
        "rare": {{ "method": "POST", "path": "/rare", "at_most_once": true,
                   "deadline_ms": 2000 }} }} }} }},
      "moves": {{ "confidence": 0.99, "thin_evidence": "{}" }} }})",
    aWeight == PrimaryCriterion::Latency ? "latency" : "bad_versions",
    FLAGS_thin_evidence);
  return configuration::OperatorText::Parse(text).value();
}

/** Simulates one move to one kind of version. */
class Run
{
public:
  Run(const VersionKind& aVersionKind,
      PrimaryCriterion aWeight,
      std::uint64_t aSeed)
    : kind(aVersionKind)
    , text(TextFor(aWeight))
    , engine(aSeed)
    , judge(this->text.moves, moves::MovePolicy::For(aWeight), 2)
  {
    configuration::Move move;
    move.id = "m1";
    move.kind = configuration::MoveKind::Version;
    move.service = "service";
    move.fromVersion = "1";
    move.toVersion = "2";
    move.requestTime = this->start;
    move.setTime =
      this->start + std::chrono::duration_cast<WallTimePoint::duration>(
                      std::chrono::duration<double>(FLAGS_seconds));
    for (std::size_t index = 0; index < kDaemons; ++index) {
      auto daemon = std::make_unique<Daemon>();
      daemon->id = { fmt::format("entry-{}", index), index + 1 };
      daemon->move = std::make_unique<moves::VersionMove>(
        move,
        this->text,
        daemon->id.name,
        moves::VersionMove::Hooks{ .now = [this] { return this->now; },
                                   .publishVerdict =
                                     [this](const moves::Verdict& aVerdict) {
                                       this->verdict = aVerdict;
                                     },
                                   .reportDone = {} });
      daemon->move->OnRecordsExchanged();
      daemon->nextPeer = (index + 1) % kDaemons;
      daemon->nextPublication = 4 * Uniform();
      this->daemons.push_back(std::move(daemon));
    }
  }

  RunResult Execute()
  {
    const int steps = static_cast<int>(FLAGS_seconds * 1.2 * kStepsPerSecond);
    for (int step = 0; step < steps; ++step) {
      const double begin = static_cast<double>(step) / kStepsPerSecond;
      SendCalls(begin);
      this->now = this->start + kStep * (step + 1);
      Exchange(step);
      Judge(step);
      if (this->verdict && !this->result.isTakenBack) {
        DistributeVerdict(begin + 1.0 / kStepsPerSecond);
        break;
      }
      if (this->now == this->start + milliseconds(static_cast<std::int64_t>(
                                       FLAGS_seconds * 1000))) {
        this->result.isFinishedInTime =
          std::ranges::all_of(this->daemons, [](const auto& aDaemon) {
            return aDaemon->move->State() == "watched";
          });
      }
    }
    this->result.harmedShare = static_cast<double>(this->harmed) /
                               std::max(1.0, FLAGS_rate * FLAGS_seconds * 1.2);
    return this->result;
  }

private:
  /** Gossip record of one daemon with its counters of one window. */
  struct Record
  {
    std::uint64_t version = 0;
    moves::EvidenceWindow state;
  };

  struct Daemon
  {
    core::DaemonId id;
    std::unique_ptr<moves::VersionMove> move;
    moves::EvidenceRecorder recorder;
    moves::Evidence evidence;
    std::array<moves::ShareSampler, 2> samplers;
    std::size_t nextPeer = 0;
    double nextPublication = 0;
    double nextPush = 0;
    std::uint64_t version = 0;
    /** Newest record received from each daemon, by its index. */
    std::array<Record, kDaemons> records;
  };

  double Uniform()
  {
    return std::uniform_real_distribution<>(0, 1)(this->engine);
  }

  double SlowdownOf(Server& aServer, double aTime)
  {
    if (!this->kind.isNoisy) {
      return 1;
    }
    // After a long time without calls only the changes of the last 50 ms count.
    aServer.validUntil = std::max(aServer.validUntil, aTime - 0.05);
    while (aServer.validUntil <= aTime) {
      aServer.validUntil += 0.005 + 0.045 * Uniform();
      aServer.factor = Uniform() < 0.2 ? 2 + 4 * Uniform() : 1;
    }
    return aServer.factor;
  }

  void SendCalls(double aBegin)
  {
    const double stepSeconds = 1.0 / kStepsPerSecond;
    std::array<double, kDaemons> shares{};
    for (std::size_t index = 0; index < kDaemons; ++index) {
      shares[index] = this->daemons[index]->move->Share();
    }
    const auto window = this->daemons[0]->move->Window();
    const double share = shares[0];
    const auto newServers = std::clamp<std::size_t>(
      static_cast<std::size_t>(std::lround(share * kServers)), 1, kServers);
    const auto oldServers = std::max<std::size_t>(1, kServers - newServers);
    std::vector<double> times(std::poisson_distribution<std::size_t>(
      FLAGS_rate * stepSeconds)(this->engine));
    for (double& time : times) {
      time = aBegin + stepSeconds * Uniform();
    }
    std::ranges::sort(times);
    const core::RandomFunction random = [this] { return this->engine(); };
    std::lognormal_distribution<> duration(std::log(5000.0), 0.5);
    for (const double time : times) {
      const std::size_t daemonIndex = this->engine() % kDaemons;
      Daemon& daemon = *this->daemons[daemonIndex];
      const bool isRare = Uniform() < kRareRouteShare;
      const bool isNew =
        daemon.samplers[isRare].Next(shares[daemonIndex], random);
      this->newCalls += isNew ? 1 : 0;
      ++this->allCalls;
      const std::size_t server =
        this->engine() % (isNew ? newServers : oldServers);
      moves::EvidenceRecorder::Observation call;
      call.call = isRare ? "rare" : "main";
      call.side =
        isNew ? moves::ComparedVersion::New : moves::ComparedVersion::Old;
      call.failureDomain = kDomains[server % kDomains.size()];
      call.isFailure = Uniform() < kBaseFailureRatio;
      double durationUs =
        duration(this->engine) *
        SlowdownOf(this->servers[isNew ? 1 : 0][server], time);
      const bool isFaulty =
        isNew && this->kind.isBad && time >= this->kind.begin * FLAGS_seconds &&
        share >= this->kind.minShare && (isRare || !this->kind.isRareRouteOnly);
      if (isFaulty) {
        const bool fails = Uniform() < this->kind.failureRatio;
        const bool isSlowed = Uniform() < this->kind.slowCallRatio;
        call.isFailure = call.isFailure || fails;
        durationUs *= isSlowed ? this->kind.slowFactor : 1;
        if (fails || isSlowed) {
          ++this->harmed;
          this->firstHarmAt = this->firstHarmAt < 0 ? time : this->firstHarmAt;
        }
      }
      if (!call.isFailure) {
        call.duration = microseconds(std::llround(durationUs));
      }
      if (window) {
        daemon.recorder.Record(
          *window, this->start + microseconds(std::llround(time * 1e6)), call);
      }
    }
  }

  /**
   * Runs the gossip of one step. Every daemon exchanges records with one peer
   * once a second, each at its own time within the second. It publishes its
   * counters at the interval that the byte budget of gossip allows. It pushes
   * them to all daemons at the end of a window and, at most every 2 s, while
   * its evidence makes a route look faulty.
   */
  void Exchange(int aStep)
  {
    const auto window = this->daemons[0]->move->Window();
    if (!window) {
      return;
    }
    const double time = static_cast<double>(aStep) / kStepsPerSecond;
    for (std::size_t index = 0; index < kDaemons; ++index) {
      Daemon& daemon = *this->daemons[index];
      if (*window > this->lastWindow) {
        Publish(index, this->lastWindow);
        Push(index);
      }
      if (time >= daemon.nextPublication) {
        Publish(index, *window);
        daemon.nextPublication += PublicationInterval(index, *window);
      }
      if (daemon.move->IsSuspicious() && time >= daemon.nextPush) {
        Publish(index, *window);
        Push(index);
        daemon.nextPush = time + kPushIntervalSeconds;
      }
      if (IsExchangeDue(index, aStep)) {
        Daemon& peer = *this->daemons[daemon.nextPeer];
        CopyNewerRecords(daemon, peer);
        CopyNewerRecords(peer, daemon);
        do {
          daemon.nextPeer = (daemon.nextPeer + 1) % kDaemons;
        } while (daemon.nextPeer == index);
      }
    }
    this->lastWindow = *window;
  }

  static bool IsExchangeDue(std::size_t aIndex, int aStep)
  {
    return static_cast<int>(aIndex % kStepsPerSecond) ==
           aStep % kStepsPerSecond;
  }

  double PublicationInterval(std::size_t aIndex, std::size_t aWindow)
  {
    const auto bytes = static_cast<double>(
      this->daemons[aIndex]->recorder.Window(aWindow).Serialize().size() +
      kRecordOverheadBytes);
    this->result.recordBytes = std::max(this->result.recordBytes, bytes);
    return std::max(1.0, kDaemons * bytes / kPacedBytesPerSecond);
  }

  void Publish(std::size_t aIndex, std::size_t aWindow)
  {
    Daemon& daemon = *this->daemons[aIndex];
    const moves::EvidenceWindow own = daemon.recorder.Window(aWindow);
    if (own.sequence > daemon.records[aIndex].state.sequence ||
        aWindow > daemon.records[aIndex].state.window) {
      daemon.records[aIndex] = { ++daemon.version, own };
      daemon.evidence.Merge(daemon.id, own);
    }
  }

  /** Sends a daemon's own record to all others. */
  void Push(std::size_t aIndex)
  {
    for (const auto& other : this->daemons) {
      ApplyIfNewer(*other, aIndex, this->daemons[aIndex]->records[aIndex]);
    }
  }

  void ApplyIfNewer(Daemon& aDaemon, std::size_t aOrigin, const Record& aRecord)
  {
    if (aRecord.version > aDaemon.records[aOrigin].version) {
      aDaemon.records[aOrigin] = aRecord;
      aDaemon.evidence.Merge(this->daemons[aOrigin]->id, aRecord.state);
    }
  }

  void CopyNewerRecords(const Daemon& aFrom, Daemon& aTo)
  {
    for (std::size_t origin = 0; origin < kDaemons; ++origin) {
      ApplyIfNewer(aTo, origin, aFrom.records[origin]);
    }
  }

  void Judge(int aStep)
  {
    const auto window = this->daemons[0]->move->Window();
    if (window && this->kind.isBad) {
      for (const auto& daemon : this->daemons) {
        for (std::size_t index = *window > 0 ? *window - 1 : 0;
             index <= *window;
             ++index) {
          this->pooledEvidence.Merge(daemon->id,
                                     daemon->recorder.Window(index));
        }
      }
    }
    const double time = static_cast<double>(aStep + 1) / kStepsPerSecond;
    if (!this->kind.isBad || !this->judge.Judge(this->pooledEvidence).isBad) {
      this->pooledFaultySince = -1;
    } else if (this->pooledFaultySince < 0) {
      this->pooledFaultySince = time;
      this->pooledFirstFaultyAt =
        this->pooledFirstFaultyAt < 0 ? time : this->pooledFirstFaultyAt;
    }
    const bool wasWaiting = this->daemons[0]->move->State() == "first_share";
    for (std::size_t index = 0; index < kDaemons && !this->verdict; ++index) {
      // A daemon evaluates the evidence after its own exchange, or in each step
      // while a route looks faulty to it.
      Daemon& daemon = *this->daemons[index];
      if (IsExchangeDue(index, aStep) || daemon.move->IsSuspicious()) {
        daemon.move->Evaluate(daemon.evidence);
      }
    }
    if (wasWaiting) {
      this->result.shareBeforeEvidence =
        std::max(this->result.shareBeforeEvidence,
                 static_cast<double>(this->newCalls) /
                   std::max(1.0, static_cast<double>(this->allCalls)));
    }
  }

  /** Applies the verdict at all daemons. A daemon pushes a verdict immediately,
   * over a few hops; the results assume that it arrives one step later. */
  void DistributeVerdict(double aTime)
  {
    const double arrivalTime = aTime + 1.0 / kStepsPerSecond;
    for (const auto& daemon : this->daemons) {
      if (daemon->move->State() != "taken_back") {
        daemon->move->ApplyVerdict(*this->verdict);
      }
    }
    this->result.isTakenBack = true;
    this->result.isThin = this->verdict->reason.starts_with("thin evidence");
    if (this->firstHarmAt >= 0) {
      this->result.timeToTakenBack = arrivalTime - this->firstHarmAt;
    }
    if (this->pooledFaultySince >= 0) {
      this->result.delayAfterEvidence = arrivalTime - this->pooledFaultySince;
    }
    if (this->pooledFirstFaultyAt >= 0) {
      this->result.delayAfterFirstEvidence =
        arrivalTime - this->pooledFirstFaultyAt;
    }
  }

  const VersionKind& kind;
  configuration::OperatorText text;
  std::mt19937_64 engine;
  moves::VersionJudge judge;
  WallTimePoint start{ std::chrono::seconds(1'800'000'000) };
  WallTimePoint now = start;
  std::vector<std::unique_ptr<Daemon>> daemons;
  std::array<std::array<Server, kServers>, 2> servers;
  std::optional<moves::Verdict> verdict;
  moves::Evidence pooledEvidence;
  std::size_t lastWindow = 0;
  double pooledFaultySince = -1;
  double pooledFirstFaultyAt = -1;
  double firstHarmAt = -1;
  std::uint64_t harmed = 0;
  std::uint64_t newCalls = 0;
  std::uint64_t allCalls = 0;
  RunResult result;
};

double
Quantile(std::vector<double> aValues, double aQuantile)
{
  if (aValues.empty()) {
    return NAN;
  }
  std::ranges::sort(aValues);
  const auto rank = static_cast<std::size_t>(
    std::ceil(aQuantile * static_cast<double>(aValues.size())));
  return aValues[std::max<std::size_t>(rank, 1) - 1];
}

std::vector<RunResult>
RunAll(const VersionKind& aVersionKind, PrimaryCriterion aWeight)
{
  std::vector<RunResult> results(static_cast<std::size_t>(FLAGS_runs));
  std::atomic<std::size_t> next = 0;
  std::vector<std::jthread> threads;
  threads.reserve(static_cast<std::size_t>(FLAGS_threads));
  for (int thread = 0; thread < FLAGS_threads; ++thread) {
    threads.emplace_back([&] {
      for (std::size_t run = next++; run < results.size(); run = next++) {
        results[run] =
          Run(aVersionKind, aWeight, FLAGS_seed * 1'000'003 + run).Execute();
      }
    });
  }
  threads.clear();
  return results;
}

std::string
FormatColumns(const VersionKind& aVersionKind,
              const std::vector<RunResult>& aResults)
{
  std::vector<double> harmed;
  std::vector<double> times;
  std::vector<double> delays;
  int late = 0;
  double maxFirstShare = 0;
  int takenBack = 0;
  int thin = 0;
  int finished = 0;
  for (const RunResult& result : aResults) {
    harmed.push_back(result.harmedShare * 100);
    if (result.timeToTakenBack >= 0) {
      times.push_back(result.timeToTakenBack);
    }
    if (result.delayAfterEvidence >= 0) {
      delays.push_back(result.delayAfterEvidence);
    }
    late += result.delayAfterFirstEvidence > 5 ? 1 : 0;
    thin += result.isThin ? 1 : 0;
    takenBack += result.isTakenBack && !result.isThin ? 1 : 0;
    finished += result.isFinishedInTime ? 1 : 0;
    maxFirstShare = std::max(maxFirstShare, result.shareBeforeEvidence);
  }
  const int runs = static_cast<int>(aResults.size());
  const auto seconds = [](double aValue) {
    return std::isnan(aValue) ? std::string("-")
                              : fmt::format("{:.1f}", aValue);
  };
  return fmt::format(
    " {:>6.3f} {:>6} {:>6} {:>5} {:>4} {:>4} {:>5} {:>4} {:>4} {:>5.3f} |",
    Quantile(harmed, 0.5),
    seconds(Quantile(times, 0.5)),
    seconds(Quantile(times, 0.95)),
    seconds(Quantile(delays, 1)),
    aVersionKind.isBad ? fmt::format("{}", late) : "-",
    aVersionKind.isBad ? fmt::format("{}", runs - takenBack - thin) : "-",
    aVersionKind.isBad ? "-" : fmt::format("{}", takenBack),
    thin,
    aVersionKind.isBad ? "-" : fmt::format("{}", finished),
    maxFirstShare * 100);
}

} // namespace

} // namespace fireflytrail::bench

int
main(int aCount, char** aArguments)
{
  using namespace fireflytrail::bench;
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  fmt::print("{} runs of each, seed {}, {} daemons, {} calls/s, {} s from "
             "request to set time, thin_evidence {}\n\n",
             FLAGS_runs,
             FLAGS_seed,
             kDaemons,
             FLAGS_rate,
             FLAGS_seconds,
             FLAGS_thin_evidence);
  fmt::print(
    "harmed: calls that failed or were slowed by the fault, in % of all calls, "
    "median;\nback: seconds from the first harmed call until no daemon uses "
    "the "
    "version, median and 95 %;\ndelay: longest time from when the pooled "
    "evidence shows the fault without interruption until taken back;\nlate: "
    "runs in which the pooled evidence first showed the fault more than 5 s "
    "before the version was taken back;\nmiss: bad versions not taken back; "
    "wrong: good versions taken back as bad;\nthin: taken back for thin "
    "evidence at the set time; done: good versions finished by the set "
    "time;\nfirst: largest share of calls in % before the evidence "
    "sufficed\n\n");
  constexpr std::string_view kColumnTitles =
    " harmed   back   95 % delay late miss wrong thin done first |";
  fmt::print("{:<40}|{:^60}|{:^60}|\n", "", "latency", "bad_versions");
  fmt::print("{:<40}|{}{}\n", "kind of version", kColumnTitles, kColumnTitles);
  for (const VersionKind& kind : VersionKinds()) {
    if (kind.name.find(FLAGS_kind) == std::string::npos) {
      continue;
    }
    fmt::print("{:<40}|", kind.name);
    for (const PrimaryCriterion weight :
         { PrimaryCriterion::Latency, PrimaryCriterion::BadVersions }) {
      fmt::print("{}", FormatColumns(kind, RunAll(kind, weight)));
    }
    fmt::print("\n");
    std::fflush(stdout);
  }
  return 0;
}
