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

// Load pattern of the platform: in each phase of 300 ms, a quarter of the
// instances are slowed down by noisy neighbours, so that work that starts in
// the phase takes four times as long.
constexpr milliseconds kPhaseDuration = 300ms;
constexpr double kSlowShare = 0.25;
constexpr double kSlowdown = 4;
constexpr milliseconds kWorkDuration = 220ms;
constexpr milliseconds kGoal = 600ms;
constexpr milliseconds kMeasureDuration = 8ms;

/** Simulates requests to instances whose speed changes from phase to phase. */
class Replay
{
public:
  Replay(std::size_t aInstanceCount,
         double aRequestsPerSecond,
         bool aUsesMeasurements)
    : requestsPerSecond(aRequestsPerSecond)
    , dispatcher(
        { .now = [this] { return this->time; },
          .random = [this] { return this->random(); },
          .decided =
            [this](std::uint64_t aId, const DispatchResult& aResult) {
              this->OnDecided(aId, aResult);
            },
          .measure = aUsesMeasurements
                       ? [this](const std::shared_ptr<const BackendInstance>&
                                  aInstance) { this->Measure(aInstance); }
                       : std::function<void(
                           const std::shared_ptr<const BackendInstance>&)>() })
  {
    std::vector<DispatchTarget> targets;
    for (std::size_t index = 0; index < aInstanceCount; ++index) {
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

  /** Returns the share of the requests that were answered by their goal. */
  double ShareInTime(int aRequestCount)
  {
    std::exponential_distribution<double> interval(this->requestsPerSecond);
    core::TimePoint next = this->time;
    for (int index = 0; index < aRequestCount; ++index) {
      next += std::chrono::duration_cast<core::TimePoint::duration>(
        std::chrono::duration<double>(interval(this->random)));
      this->RunUntil(next);
      const std::uint64_t id = static_cast<std::uint64_t>(index) + 1;
      this->arrivals[id] = this->time;
      DispatchRequest request;
      request.id = id;
      request.failureDomain = "a";
      request.goal = this->time + kGoal;
      request.deadline = this->time + 4s;
      request.isCentrallyDispatched = true;
      this->dispatcher.Submit(std::move(request));
    }
    this->RunUntil(next + 5s);
    return static_cast<double>(this->inTimeCount) / aRequestCount;
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
    // The phases of the instances are offset from each other.
    const auto phase =
      (this->time.time_since_epoch() + milliseconds(number * 37)) /
      kPhaseDuration;
    std::mt19937_64 generator(static_cast<std::uint64_t>(phase) * 1009 +
                              number);
    return std::bernoulli_distribution(kSlowShare)(generator) ? kSlowdown : 1;
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
      kWorkDuration * this->SlowdownOf(instance));
    this->events.emplace(
      this->time + duration,
      [this, aId, instance, duration, grant = aResult.grant] {
        this->inTimeCount += this->time - this->arrivals[aId] <= kGoal ? 1 : 0;
        const LoadSample sample = this->SampleOf(instance);
        --this->running[instance];
        this->dispatcher.Release(
          grant, AttemptOutcome::Answered, duration, sample);
      });
  }

  void Measure(const std::shared_ptr<const BackendInstance>& aInstance)
  {
    this->events.emplace(this->time + kMeasureDuration, [this, aInstance] {
      this->dispatcher.OnMeasured(
        *aInstance, Measurement{ this->SampleOf(aInstance->id), 0ms });
    });
  }

  double requestsPerSecond;
  std::mt19937_64 random{ 7 };
  core::TimePoint time{ 1h };
  std::multimap<core::TimePoint, std::function<void()>> events;
  std::map<std::uint64_t, core::TimePoint> arrivals;
  std::map<std::string, int> running;
  int inTimeCount = 0;
  ServiceDispatcher dispatcher;
};

} // namespace

// Guards against sending requests to slow instances although others are known
// to be good: a random choice would do so for a quarter of them. The load is a
// sixth of the capacity of 40 instances; at most one request in twenty may be
// late.
BOOST_AUTO_TEST_CASE(MeasuredInstancesKeepRequestsInTime)
{
  BOOST_TEST(Replay(40, 90, true).ShareInTime(4000) >= 0.95);
}

// Guards against measurements without effect: without them, at least twice as
// many requests are late.
BOOST_AUTO_TEST_CASE(WithoutMeasurementsMoreRequestsAreLate)
{
  const double shareWithMeasurements = Replay(40, 90, true).ShareInTime(4000);
  const double shareWithoutMeasurements =
    Replay(40, 90, false).ShareInTime(4000);
  BOOST_TEST(1 - shareWithoutMeasurements >= 2 * (1 - shareWithMeasurements));
  // Reports on answers alone still give a better result than a random choice.
  BOOST_TEST(shareWithoutMeasurements >= 1 - kSlowShare);
}
