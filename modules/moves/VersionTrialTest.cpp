#include "moves/VersionTrial.h"

#include <boost/test/unit_test.hpp>

#include <functional>
#include <random>

using namespace fireflytrail;
using namespace fireflytrail::moves;
using namespace std::chrono_literals;
using Verdict = VersionTrial::Verdict;

namespace {

constexpr auto kDuration = 15'000ms;
constexpr double kFirstShare = 0.1;
constexpr int kRequestsPerSecond = 90;

// Maximum number of requests that a bad version may get: a tenth of the
// requests within the move's duration, plus 50.
constexpr int kMaxNewRequests = kRequestsPerSecond * 15 / 10 + 50;

/** Simulates the requests of a service during a trial. */
struct Simulation
{
  core::TimePoint time{ 1h };
  core::TimePoint begin = time;
  std::mt19937_64 random;
  VersionTrial trial{ [this] { return this->time; },
                      this->begin,
                      kDuration,
                      kFirstShare };
  /** Probabilities that a request of the new version fails or is slow. */
  std::function<double(std::uint64_t aRoute)> failureProbability =
    [](std::uint64_t) { return 0.001; };
  double slowProbability = 0.05;
  /** The same for a request of the old version. */
  double oldSlowProbability = 0.05;
  int requestsPerSecond = kRequestsPerSecond;
  std::size_t newInstances = 10;
  int newRequests = 0;
  /** Those of them within the move's duration. */
  int newRequestsInTime = 0;
  int allRequests = 0;

  explicit Simulation(std::uint64_t aSeed)
    : random(aSeed)
  {
  }

  bool Draw(double aProbability)
  {
    return std::bernoulli_distribution(aProbability)(this->random);
  }

  /**
   * Runs until there is a verdict or twice the move's duration is over; returns
   * the elapsed time.
   */
  std::chrono::milliseconds Run()
  {
    while (this->trial.Result() == Verdict::None &&
           this->time - this->begin < kDuration * 2) {
      for (int index = 0; index < this->requestsPerSecond / 4; ++index) {
        this->RecordOne();
      }
      this->time += 250ms;
      const bool isFull = this->trial.Share() >= 1;
      this->trial.Update({ this->newInstances, 10, isFull ? 0U : 5U });
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(this->time -
                                                                 this->begin);
  }

  void RecordOne()
  {
    VersionTrial::Observation observation;
    observation.isNew = this->Draw(this->trial.Share());
    observation.route = 1 + this->random() % 4;
    observation.instance = this->random() % 10;
    observation.isFailure = this->Draw(
      observation.isNew ? this->failureProbability(observation.route) : 0.001);
    if (!observation.isFailure) {
      observation.isSlow = this->Draw(
        observation.isNew ? this->slowProbability : this->oldSlowProbability);
    }
    ++this->allRequests;
    this->newRequests += observation.isNew ? 1 : 0;
    if (observation.isNew && this->time - this->begin < kDuration) {
      ++this->newRequestsInTime;
    }
    this->trial.Record(observation);
  }
};

} // namespace

// Guards against good versions that are not done in time, and against a share
// that exposes many requests before there is sufficient evidence.
BOOST_AUTO_TEST_CASE(AGoodVersionIsDoneInTime)
{
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    Simulation simulation(seed);
    BOOST_TEST((simulation.Run() < kDuration));
    BOOST_TEST((simulation.trial.Result() == Verdict::Good));
  }
}

// Guards against bad versions that get more than a tenth of the requests within
// the move's duration, or any requests 5 s after their 50th failure.
BOOST_AUTO_TEST_CASE(AVersionThatFailsIsTakenBackEarly)
{
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    Simulation simulation(seed);
    simulation.failureProbability = [](std::uint64_t) { return 0.4; };
    BOOST_TEST((simulation.Run() < 5s));
    BOOST_TEST((simulation.trial.Result() == Verdict::Bad));
    BOOST_TEST(simulation.newRequests < 50);
  }
}

// Guards against ignoring slow requests: a version that is slow but does not
// fail must be taken back.
BOOST_AUTO_TEST_CASE(ASlowVersionIsTakenBack)
{
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    Simulation simulation(seed);
    simulation.slowProbability = 0.5;
    BOOST_TEST((simulation.Run() < kDuration));
    BOOST_TEST((simulation.trial.Result() == Verdict::Bad));
    BOOST_TEST(simulation.newRequests < kMaxNewRequests);
  }
}

// Guards against a share that grows without evidence that the version is good.
// The load is that of a small fleet whose servers are slowed by neighbours: of
// 47 requests a second, 9.5 % are slow at the old version and 30 % at the new
// one, too few to judge it bad before the share grows.
BOOST_AUTO_TEST_CASE(AVersionThatCannotBeJudgedYetKeepsItsSmallShare)
{
  constexpr int kSlowFleetRequestsPerSecond = 47;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    Simulation simulation(seed);
    simulation.requestsPerSecond = kSlowFleetRequestsPerSecond;
    simulation.oldSlowProbability = 0.095;
    simulation.slowProbability = 0.3;
    simulation.Run();
    BOOST_TEST(simulation.newRequestsInTime <=
               kSlowFleetRequestsPerSecond * 15 / 10 + 50);
    BOOST_TEST((simulation.trial.Result() != Verdict::Good));
  }
}

// Guards against a good version that is not done in time because many requests
// of both versions are slow.
BOOST_AUTO_TEST_CASE(AGoodVersionIsDoneInTimeAmongSlowServers)
{
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    Simulation simulation(seed);
    simulation.oldSlowProbability = 0.25;
    simulation.slowProbability = 0.25;
    BOOST_TEST((simulation.Run() < kDuration));
    BOOST_TEST((simulation.trial.Result() == Verdict::Good));
  }
}

// Guards against a fault on one route that is hidden in the average over all
// routes.
BOOST_AUTO_TEST_CASE(AVersionThatFailsOnOneRouteIsTakenBack)
{
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    Simulation simulation(seed);
    simulation.failureProbability = [](std::uint64_t aRoute) {
      return aRoute == 2 ? 0.5 : 0.001;
    };
    simulation.Run();
    BOOST_TEST((simulation.trial.Result() == Verdict::Bad));
    BOOST_TEST(simulation.newRequests < kMaxNewRequests);
  }
}

// Guards against missing a fault that shows only under load, once the share has
// grown.
BOOST_AUTO_TEST_CASE(AVersionThatFailsUnderLoadIsTakenBack)
{
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    Simulation simulation(seed);
    simulation.failureProbability = [&simulation](std::uint64_t) {
      return simulation.trial.Share() > 0.2 ? 0.5 : 0.001;
    };
    simulation.Run();
    BOOST_TEST((simulation.trial.Result() == Verdict::Bad));
    BOOST_TEST(simulation.newRequests < kMaxNewRequests);
  }
}

// Guards against judging a version bad because of one broken instance.
BOOST_AUTO_TEST_CASE(OneBrokenInstanceIsNotABadVersion)
{
  VersionTrial trial([time = core::TimePoint(1h)] { return time; },
                     core::TimePoint(1h),
                     kDuration,
                     kFirstShare);
  for (int index = 0; index < 1000; ++index) {
    VersionTrial::Observation observation;
    observation.isNew = index % 10 == 0;
    observation.instance = static_cast<std::uint64_t>(index / 10 % 20);
    observation.isFailure = observation.isNew && observation.instance == 0;
    trial.Record(observation);
  }
  trial.Update({ 10, 10, 5 });
  BOOST_TEST((trial.Result() == Verdict::None));
}

// Guards against a move that finishes although too few new instances run: the
// old ones stop then.
BOOST_AUTO_TEST_CASE(ShareStaysLowWithTooFewNewInstances)
{
  Simulation simulation(1);
  simulation.newInstances = 3;
  simulation.Run();
  BOOST_TEST((simulation.trial.Result() == Verdict::None));
  BOOST_TEST(simulation.trial.Share() == kFirstShare);
}
