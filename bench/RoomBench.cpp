/**
 * Compares orders of service side by side on the same arrivals: a service has
 * too few slots for a while, and its callers come back after a refusal. Prints,
 * for each load and order, the worth that is served and what each kind of
 * request meets, as means over the seeds; then the decisions per second of the
 * dispatcher while many requests wait.
 */

#include "core/Hash.h"
#include "routing/ServiceDispatcher.h"
#include "routing/WaitingQueue.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

DEFINE_uint32(seeds, 20, "seeds to play for each load");
DEFINE_uint32(instances, 200, "instances while the dispatcher is measured");
DEFINE_uint32(waiting, 2000, "waiting requests while it is measured");

namespace {

using namespace fireflytrail;
using namespace fireflytrail::routing;
using namespace std::chrono_literals;
using core::TimePoint;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;

struct Kind
{
  std::string name;
  milliseconds goal;
  milliseconds deadline;
  milliseconds work;
  unsigned priority;
  double worth;
  double lateWorth;
  double perSecond;
};

// Kinds of requests at one service whose work, goals and worth differ.
const std::vector<Kind> kKinds{
  { "submit", 500ms, 5000ms, 200ms, 0, 4.9, 0.2, 60 },
  { "lookup", 800ms, 5000ms, 290ms, 1, 0.86, 0.086, 200 },
  { "register", 2000ms, 6000ms, 380ms, 2, 0.86, 0.13, 70 },
};

constexpr double kSlots = 200;
constexpr int kReturns = 2;
constexpr milliseconds kLength = 14s;
constexpr milliseconds kLoadBegin = 3s;

/** A time in which the service has too little room. */
struct Load
{
  std::string name;
  /** Factor of the arrivals, of all kinds or of one organisation. */
  double arrivals = 1;
  /** Part of the slots that remains. */
  double slots = 1;
  milliseconds length{ 0 };
  /** Whether the additional arrivals are of one of 80 organisations. */
  bool isOfOneOrganisation = false;
};

const std::vector<Load> kLoads{
  { "short burst", 2.2, 1, 1s },
  { "burst", 2.0, 1, 3s },
  { "lasting overload", 1.7, 1, 8s },
  { "half of the slots away", 1, 0.45, 4s },
  { "one organisation", 1.8, 1, 4s, true },
};

struct Call
{
  std::size_t kind = 0;
  std::uint64_t organisation = 0;
  TimePoint firstArrival;
  int returnsLeft = kReturns;
};

/** How waiting requests are ordered and refused. */
struct Order
{
  std::string name;
  OrderOfService order;
  /** Whether the order knows the priorities, and the work of each kind. */
  bool usesPriorities = true;
  bool usesWork = true;
};

const std::vector<Order> kOrders{
  { "newest first", OrderOfService::NewestFirst },
  { "newest, one work for all", OrderOfService::NewestFirst, true, false },
  { "by worth", OrderOfService::ByWorth },
  { "earliest start, refuses the longest", OrderOfService::ByWorth, false },
  { "earliest goal, one work for all", OrderOfService::ByWorth, true, false },
};

struct KindResult
{
  double arrived = 0;
  double inTime = 0;
  double late = 0;
  /** Calls that end without an answer. */
  double lost = 0;
  double refusals = 0;
  double refusedAgain = 0;
  /** Refusals after more than an eighth of the goal. */
  double lateRefusals = 0;
};

struct Result
{
  std::vector<KindResult> kinds{ kKinds.size() };
  double worth = 0;
  /** Least share of an organisation without a burst that is served in time. */
  double leastOrganisation = 1;
};

/** Plays one load with one order. The arrivals depend on the seed only. */
class Play
{
public:
  Play(const Load& aLoad, const Order& aOrder, std::uint64_t aSeed)
    : load(aLoad)
    , order(aOrder)
    , queue(aOrder.order)
    , arrivalRandom(aSeed)
    , random(aSeed + 1000)
  {
  }

  Result Run()
  {
    this->PlanArrivals();
    for (const TimePoint end = kBegin + kLength + 8s; this->now < end;
         this->now += 1ms) {
      this->EndRunning();
      while (!this->planned.empty() &&
             this->planned.begin()->first <= this->now) {
        const Call call = this->planned.begin()->second;
        this->planned.erase(this->planned.begin());
        this->Arrive(call);
      }
      this->Serve();
    }
    return this->Summarize();
  }

private:
  static constexpr TimePoint kBegin{ 1h };

  bool IsLoaded(TimePoint aTime) const
  {
    return aTime >= kBegin + kLoadBegin &&
           aTime < kBegin + kLoadBegin + this->load.length;
  }

  double Slots() const
  {
    return this->IsLoaded(this->now) ? kSlots * this->load.slots : kSlots;
  }

  /** Poisson arrivals of each kind; a few organisations are large. */
  void PlanArrivals()
  {
    std::vector<double> sizes(80, 1);
    std::fill(sizes.begin(), sizes.begin() + 4, 6);
    std::discrete_distribution<std::uint64_t> organisation(sizes.begin(),
                                                           sizes.end());
    for (std::size_t kind = 0; kind < kKinds.size(); ++kind) {
      for (TimePoint time = kBegin; time < kBegin + kLength; time += 1ms) {
        std::poisson_distribution<int> usual(kKinds[kind].perSecond / 1000);
        std::poisson_distribution<int> extra(
          (this->load.arrivals - 1) * kKinds[kind].perSecond / 1000 + 1e-12);
        for (int left = usual(this->arrivalRandom); left > 0; --left) {
          this->planned.emplace(
            time, Call{ kind, organisation(this->arrivalRandom) + 1, time });
        }
        for (int left = this->IsLoaded(time) ? extra(this->arrivalRandom) : 0;
             left > 0;
             --left) {
          this->planned.emplace(time,
                                Call{ kind,
                                      this->load.isOfOneOrganisation
                                        ? 40
                                        : organisation(this->arrivalRandom) + 1,
                                      time });
        }
      }
    }
  }

  DurationEstimate EstimateOf(std::size_t aKind) const
  {
    return this->durations.Of(this->order.usesWork ? aKind + 1 : 0);
  }

  void Arrive(const Call& aCall)
  {
    const Kind& kind = kKinds[aCall.kind];
    if (aCall.returnsLeft == kReturns) {
      ++this->result.kinds[aCall.kind].arrived;
      ++this->organisations[aCall.organisation].first;
    }
    DispatchRequest request;
    request.id = ++this->lastId;
    // A daemon does not know that a caller has returned.
    request.goal = this->now + kind.goal;
    request.deadline = aCall.firstArrival + kind.deadline;
    request.priority = this->order.usesPriorities ? kind.priority : 0;
    request.organisation = aCall.organisation;
    this->calls[request.id] = { aCall, this->now };
    const DurationEstimate estimate = this->EstimateOf(aCall.kind);
    this->queue.CountArrival(request, estimate, this->now);
    if (this->queue.MayWait(request, estimate, this->Slots(), this->now)) {
      this->queue.Add(std::move(request), estimate, this->now);
    } else {
      this->Refuse(request);
    }
    this->Serve();
  }

  void Serve()
  {
    while (static_cast<double>(this->running.size()) < this->Slots() &&
           !this->queue.IsEmpty()) {
      const DispatchRequest request =
        this->queue.Take(this->queue.First(this->now)->id);
      const std::size_t kind = this->calls.at(request.id).first.kind;
      this->queue.CountGranted(request, this->EstimateOf(kind), this->now);
      std::lognormal_distribution<double> spread(0, 0.3);
      const double slowdown =
        std::bernoulli_distribution(0.1)(this->random) ? 4 : 1;
      const auto duration = std::chrono::duration_cast<nanoseconds>(
        kKinds[kind].work * spread(this->random) * slowdown);
      this->running.emplace(this->now + duration,
                            std::pair(request.id, duration));
    }
    for (const DispatchRequest& request : this->queue.TakeHopeless(this->now)) {
      this->Refuse(request);
    }
    for (const DispatchRequest& request : this->queue.TakeExcess(
           this->Slots(), this->durations.OfService().typical, this->now)) {
      this->Refuse(request);
    }
  }

  void EndRunning()
  {
    while (!this->running.empty() &&
           this->running.begin()->first <= this->now) {
      const auto [id, duration] = this->running.begin()->second;
      const TimePoint end = this->running.begin()->first;
      this->running.erase(this->running.begin());
      const Call call = this->calls.extract(id).mapped().first;
      const Kind& kind = kKinds[call.kind];
      this->durations.Record(call.kind + 1, duration);
      KindResult& counts = this->result.kinds[call.kind];
      if (end - call.firstArrival <= kind.goal) {
        ++counts.inTime;
        ++this->organisations[call.organisation].second;
      } else if (end - call.firstArrival <= kind.deadline) {
        ++counts.late;
      } else {
        ++counts.lost;
      }
    }
  }

  void Refuse(const DispatchRequest& aRequest)
  {
    this->queue.CountRefused(aRequest, this->now);
    auto [call, arrival] = this->calls.extract(aRequest.id).mapped();
    const Kind& kind = kKinds[call.kind];
    KindResult& counts = this->result.kinds[call.kind];
    ++counts.refusals;
    counts.refusedAgain += call.returnsLeft < kReturns ? 1 : 0;
    counts.lateRefusals += this->now - arrival > kind.goal / 8 ? 1 : 0;
    // Callers honour the time up to a third of what they have left.
    std::uniform_real_distribution<double> jitter(1, 1.5);
    this->recentRefusals =
      this->recentRefusals *
        std::exp(
          -std::chrono::duration<double>(this->now - this->refusedAt).count()) +
      1;
    this->refusedAt = this->now;
    const double seconds =
      std::chrono::duration<double>(this->queue.Work()).count() +
      std::chrono::duration<double>(this->durations.OfService().typical)
          .count() *
        this->recentRefusals;
    std::chrono::duration<double> wait(
      std::clamp(seconds / this->Slots() * jitter(this->random), 0.05, 2.0));
    const auto left = call.firstArrival + kind.deadline - this->now;
    wait = std::min(wait, std::chrono::duration<double>(left) / 3);
    if (call.returnsLeft-- == 0) {
      ++counts.lost;
      return;
    }
    this->planned.emplace(
      this->now + std::chrono::duration_cast<nanoseconds>(wait), call);
  }

  Result Summarize()
  {
    double earned = 0;
    double owed = 0;
    for (std::size_t kind = 0; kind < kKinds.size(); ++kind) {
      const KindResult& counts = this->result.kinds[kind];
      earned += counts.inTime * kKinds[kind].worth +
                counts.late * kKinds[kind].lateWorth;
      owed += counts.arrived * kKinds[kind].worth;
    }
    this->result.worth = earned / owed;
    for (const auto& [organisation, counts] : this->organisations) {
      if (organisation != 40) {
        this->result.leastOrganisation =
          std::min(this->result.leastOrganisation,
                   static_cast<double>(counts.second) / counts.first);
      }
    }
    return this->result;
  }

  const Load& load;
  const Order& order;
  TimePoint now = kBegin;
  WaitingQueue queue;
  RouteDurations durations{ 250ms };
  std::mt19937_64 arrivalRandom;
  std::mt19937_64 random;
  std::multimap<TimePoint, Call> planned;
  std::multimap<TimePoint, std::pair<std::uint64_t, nanoseconds>> running;
  std::map<std::uint64_t, std::pair<Call, TimePoint>> calls;
  /** By organisation: calls, and those answered in time. */
  std::map<std::uint64_t, std::pair<int, int>> organisations;
  std::uint64_t lastId = 0;
  double recentRefusals = 0;
  TimePoint refusedAt = kBegin;
  Result result;
};

void
CompareOrders()
{
  for (const Load& load : kLoads) {
    fmt::print("{}\n", load.name);
    for (const Order& order : kOrders) {
      Result sum;
      sum.leastOrganisation = 0;
      double leastWorth = 1;
      for (std::uint64_t seed = 1; seed <= FLAGS_seeds; ++seed) {
        const Result result = Play(load, order, seed).Run();
        sum.worth += result.worth / FLAGS_seeds;
        leastWorth = std::min(leastWorth, result.worth);
        sum.leastOrganisation += result.leastOrganisation / FLAGS_seeds;
        for (std::size_t kind = 0; kind < kKinds.size(); ++kind) {
          KindResult& into = sum.kinds[kind];
          const KindResult& from = result.kinds[kind];
          into.arrived += from.arrived;
          into.inTime += from.inTime;
          into.late += from.late;
          into.lost += from.lost;
          into.refusals += from.refusals;
          into.refusedAgain += from.refusedAgain;
          into.lateRefusals += from.lateRefusals;
        }
      }
      fmt::print("  {:<36} worth {:.3f} (least {:.3f})",
                 order.name,
                 sum.worth,
                 leastWorth);
      for (std::size_t kind = 0; kind < kKinds.size(); ++kind) {
        const KindResult& counts = sum.kinds[kind];
        const auto part = [&](double aCount) {
          return aCount / counts.arrived;
        };
        fmt::print(" | {} in time {:.3f} late {:.3f} refused {:.3f} again "
                   "{:.3f} held {:.3f}",
                   kKinds[kind].name,
                   part(counts.inTime),
                   part(counts.late),
                   part(counts.refusals),
                   part(counts.refusedAgain),
                   part(counts.lateRefusals));
      }
      fmt::print(" | least organisation {:.3f}\n", sum.leastOrganisation);
    }
  }
}

/** Measures a release and an arrival while all instances are full. */
void
MeasureDecisions(OrderOfService aOrder, const std::string& aName)
{
  TimePoint time{ 1h };
  std::uint64_t randomState = 1;
  std::vector<std::uint64_t> granted;
  ServiceDispatcher dispatcher(
    { .now = [&] { return time; },
      .random = [&] { return randomState += 0x9e3779b97f4a7c15ULL; },
      .decided =
        [&](std::uint64_t, const DispatchResult& aResult) {
          if (aResult.instance) {
            granted.push_back(aResult.grant);
          }
        } },
    { .initialTypicalDuration = 400ms, .order = aOrder });
  std::vector<DispatchTarget> targets;
  for (std::uint32_t index = 0; index < FLAGS_instances; ++index) {
    BackendInstance instance;
    instance.id = fmt::format("i{}", index);
    instance.service = "s";
    instance.failureDomain = "a";
    instance.slots = 6;
    targets.push_back({ std::make_shared<const BackendInstance>(instance) });
  }
  dispatcher.SetInstances(targets);
  std::uint64_t lastId = 0;
  const auto submit = [&] {
    DispatchRequest request;
    request.id = ++lastId;
    request.failureDomain = "a";
    request.goal = time + 40s + milliseconds(lastId % 4000);
    request.deadline = time + 80s;
    request.priority = static_cast<unsigned>(lastId % 3);
    request.route = lastId % 3 + 1;
    request.organisation = lastId % 80 + 1;
    request.isCentrallyDispatched = true;
    dispatcher.Submit(std::move(request));
  };
  for (std::uint64_t index = 0; index < 4 * FLAGS_instances + FLAGS_waiting;
       ++index) {
    submit();
  }
  const std::size_t waitingAtBegin = dispatcher.WaitingCount();
  constexpr int kEvents = 5000;
  std::size_t next = 0;
  const auto begin = std::chrono::steady_clock::now();
  for (int event = 0; event < kEvents && next < granted.size(); ++event) {
    time += 500us;
    dispatcher.Release(
      granted[next++], AttemptOutcome::Answered, 400ms, std::nullopt);
    submit();
    if (event % 20 == 0) {
      dispatcher.Tick();
    }
  }
  const std::chrono::duration<double> elapsed =
    std::chrono::steady_clock::now() - begin;
  fmt::print("{}: {:.0f} decisions a second, {} waiting at the start, {} at "
             "the end\n",
             aName,
             kEvents / elapsed.count(),
             waitingAtBegin,
             dispatcher.WaitingCount());
}

} // namespace

int
main(int aCount, char** aArguments)
{
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  CompareOrders();
  MeasureDecisions(OrderOfService::NewestFirst, "newest first");
  MeasureDecisions(OrderOfService::ByWorth, "by worth");
  return 0;
}
