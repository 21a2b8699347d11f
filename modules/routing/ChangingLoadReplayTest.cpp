#include "routing/ServiceDispatcher.h"

#include <boost/test/unit_test.hpp>

#include <functional>
#include <map>
#include <queue>
#include <random>

using namespace fireflytrail;
using namespace fireflytrail::routing;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

// The load pattern of the platform: in each 300 ms, a quarter of the instances
// has neighbours that make work which begins then take four times as long.
constexpr milliseconds kPhase = 300ms;
constexpr double kSlowShare = 0.25;
constexpr double kSlowdown = 4;
constexpr milliseconds kWork = 220ms;
constexpr milliseconds kGoal = 600ms;
constexpr milliseconds kMeasureTime = 8ms;

/** Replays requests at instances whose load shifts all the time. */
class Replay
{
public:
  Replay(std::size_t aInstances, double aPerSecond, bool aMeasures)
    : perSecond(aPerSecond)
    , dispatcher(
        { .now = [this] { return this->time; },
          .random = [this] { return this->random(); },
          .decided =
            [this](std::uint64_t aId, const DispatchResult& aResult) {
              this->OnDecided(aId, aResult);
            },
          .measure = aMeasures
                       ? [this](const std::shared_ptr<const BackendInstance>&
                                  aInstance) { this->Measure(aInstance); }
                       : std::function<void(
                           const std::shared_ptr<const BackendInstance>&)>() })
  {
    std::vector<DispatchTarget> targets;
    for (std::size_t index = 0; index < aInstances; ++index) {
      BackendInstance instance;
      instance.id = std::to_string(index);
      instance.service = "s";
      instance.failureDomain = "a";
      instance.slots = 4;
      targets.push_back(
        { std::make_shared<const BackendInstance>(std::move(instance)) });
    }
    this->dispatcher.SetInstances(targets);
  }

  /** Returns the share of the requests that were answered in time. */
  double ShareInTime(int aRequests)
  {
    std::exponential_distribution<double> gap(this->perSecond);
    core::TimePoint next = this->time;
    for (int index = 0; index < aRequests; ++index) {
      next += std::chrono::duration_cast<core::TimePoint::duration>(
        std::chrono::duration<double>(gap(this->random)));
      this->RunUntil(next);
      const std::uint64_t id = static_cast<std::uint64_t>(index) + 1;
      this->arrivals[id] = this->time;
      DispatchRequest request;
      request.id = id;
      request.failureDomain = "a";
      request.goal = this->time + kGoal;
      request.deadline = this->time + 4s;
      request.isForAllHosts = true;
      this->dispatcher.Submit(std::move(request));
    }
    this->RunUntil(next + 5s);
    return static_cast<double>(this->inTime) / aRequests;
  }

private:
  using Event = std::pair<core::TimePoint, std::function<void()>>;

  void RunUntil(core::TimePoint aTime)
  {
    while (!this->events.empty() && this->events.begin()->first <= aTime) {
      auto event = this->events.extract(this->events.begin());
      this->time = event.key();
      event.mapped()();
    }
    this->time = aTime;
    this->dispatcher.Tick();
  }

  double SlowdownOf(const std::string& aId)
  {
    const auto number = std::stoul(aId);
    // The phases of instances begin at different times.
    const auto phase =
      (this->time.time_since_epoch() + milliseconds(number * 37)) / kPhase;
    std::mt19937_64 draw(static_cast<std::uint64_t>(phase) * 1009 + number);
    return std::bernoulli_distribution(kSlowShare)(draw) ? kSlowdown : 1;
  }

  LoadSample SampleOf(const std::string& aId)
  {
    return { .running = static_cast<std::uint32_t>(this->running[aId]),
             .slots = 4,
             .slowdown = this->SlowdownOf(aId) };
  }

  void OnDecided(std::uint64_t aId, const DispatchResult& aResult)
  {
    BOOST_REQUIRE(aResult.instance);
    const std::string instance = aResult.instance->id;
    ++this->running[instance];
    const auto duration = std::chrono::duration_cast<std::chrono::nanoseconds>(
      kWork * this->SlowdownOf(instance));
    this->events.emplace(
      this->time + duration,
      [this, aId, instance, duration, grant = aResult.grant] {
        this->inTime += this->time - this->arrivals[aId] <= kGoal ? 1 : 0;
        const LoadSample sample = this->SampleOf(instance);
        --this->running[instance];
        this->dispatcher.Release(grant, UseOutcome::Answered, duration, sample);
      });
  }

  void Measure(const std::shared_ptr<const BackendInstance>& aInstance)
  {
    this->events.emplace(this->time + kMeasureTime, [this, aInstance] {
      this->dispatcher.OnMeasured(
        *aInstance, Measurement{ this->SampleOf(aInstance->id), 0ms });
    });
  }

  double perSecond;
  std::mt19937_64 random{ 7 };
  core::TimePoint time{ 1h };
  std::multimap<core::TimePoint, std::function<void()>> events;
  std::map<std::uint64_t, core::TimePoint> arrivals;
  std::map<std::string, int> running;
  int inTime = 0;
  ServiceDispatcher dispatcher;
};

} // namespace

// Guards against requests that meet slow instances although others are known
// to be good: by chance a quarter would. 40 instances at a sixth of their
// capacity; at most one request in twenty may be late.
BOOST_AUTO_TEST_CASE(MeasuredInstancesKeepRequestsInTime)
{
  BOOST_TEST(Replay(40, 90, true).ShareInTime(4000) >= 0.95);
}

// Guards against measurements that do nothing: without them, at least twice as
// many requests are late.
BOOST_AUTO_TEST_CASE(WithoutMeasurementsMoreRequestsAreLate)
{
  const double with = Replay(40, 90, true).ShareInTime(4000);
  const double without = Replay(40, 90, false).ShareInTime(4000);
  BOOST_TEST(1 - without >= 2 * (1 - with));
  // Still better than by chance, from the reports on answers alone.
  BOOST_TEST(without >= 1 - kSlowShare);
}
