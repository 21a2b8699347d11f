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
constexpr int kPerSecond = 90;

// A bad version may get a tenth of the requests of the move's time, and 50.
constexpr int kMostRequests = kPerSecond * 15 / 10 + 50;

/** Replays the requests of a service during a trial. */
struct Replay
{
  core::TimePoint time{ 1h };
  core::TimePoint begin = time;
  std::mt19937_64 random;
  VersionTrial trial{ [this] { return this->time; },
                      this->begin,
                      kDuration,
                      kFirstShare };
  /** Chance that a request of the new version fails or is slow. */
  std::function<double(std::uint64_t aRoute)> failureOf = [](std::uint64_t) {
    return 0.001;
  };
  double slowShare = 0.05;
  std::size_t newInstances = 10;
  int newRequests = 0;
  int allRequests = 0;

  explicit Replay(std::uint64_t aSeed)
    : random(aSeed)
  {
  }

  bool Draw(double aChance)
  {
    return std::bernoulli_distribution(aChance)(this->random);
  }

  /** Runs until there is a verdict or the time is over; returns the time. */
  std::chrono::milliseconds Run()
  {
    while (this->trial.Result() == Verdict::None &&
           this->time - this->begin < kDuration * 2) {
      for (int index = 0; index < kPerSecond / 4; ++index) {
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
    VersionTrial::Observation seen;
    seen.isNew = this->Draw(this->trial.Share());
    seen.route = 1 + this->random() % 4;
    seen.instance = this->random() % 10;
    seen.isFailure =
      this->Draw(seen.isNew ? this->failureOf(seen.route) : 0.001);
    if (!seen.isFailure) {
      seen.isSlow = this->Draw(seen.isNew ? this->slowShare : 0.05);
    }
    ++this->allRequests;
    this->newRequests += seen.isNew ? 1 : 0;
    this->trial.Record(seen);
  }
};

} // namespace

// Guards against good versions that are not done in time, and against a share
// that harms many before the evidence suffices.
BOOST_AUTO_TEST_CASE(AGoodVersionIsDoneInTime)
{
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    Replay replay(seed);
    BOOST_TEST((replay.Run() < kDuration));
    BOOST_TEST((replay.trial.Result() == Verdict::Good));
  }
}

// Guards against bad versions that get more than a tenth of the requests of the
// move's time, or any 5 s after their 50th bad answer.
BOOST_AUTO_TEST_CASE(AVersionThatFailsIsTakenBackEarly)
{
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    Replay replay(seed);
    replay.failureOf = [](std::uint64_t) { return 0.4; };
    BOOST_TEST((replay.Run() < 5s));
    BOOST_TEST((replay.trial.Result() == Verdict::Bad));
    BOOST_TEST(replay.newRequests < 50);
  }
}

// Guards against a version whose slowness nobody counts.
BOOST_AUTO_TEST_CASE(ASlowVersionIsTakenBack)
{
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    Replay replay(seed);
    replay.slowShare = 0.5;
    BOOST_TEST((replay.Run() < kDuration));
    BOOST_TEST((replay.trial.Result() == Verdict::Bad));
    BOOST_TEST(replay.newRequests < kMostRequests);
  }
}

// Guards against a fault on one route that hides in the average.
BOOST_AUTO_TEST_CASE(AVersionThatFailsOnOneRouteIsTakenBack)
{
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    Replay replay(seed);
    replay.failureOf = [](std::uint64_t aRoute) {
      return aRoute == 2 ? 0.5 : 0.001;
    };
    replay.Run();
    BOOST_TEST((replay.trial.Result() == Verdict::Bad));
    BOOST_TEST(replay.newRequests < kMostRequests);
  }
}

// Guards against a fault that shows under load only, when the share has grown.
BOOST_AUTO_TEST_CASE(AVersionThatFailsUnderLoadIsTakenBack)
{
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    Replay replay(seed);
    replay.failureOf = [&replay](std::uint64_t) {
      return replay.trial.Share() > 0.2 ? 0.5 : 0.001;
    };
    replay.Run();
    BOOST_TEST((replay.trial.Result() == Verdict::Bad));
    BOOST_TEST(replay.newRequests < kMostRequests);
  }
}

// Guards against one broken instance that is taken for a bad version.
BOOST_AUTO_TEST_CASE(OneBrokenInstanceIsNoBadVersion)
{
  VersionTrial trial([time = core::TimePoint(1h)] { return time; },
                     core::TimePoint(1h),
                     kDuration,
                     kFirstShare);
  for (int index = 0; index < 1000; ++index) {
    VersionTrial::Observation seen;
    seen.isNew = index % 10 == 0;
    seen.instance = static_cast<std::uint64_t>(index / 10 % 20);
    seen.isFailure = seen.isNew && seen.instance == 0;
    trial.Record(seen);
  }
  trial.Update({ 10, 10, 5 });
  BOOST_TEST((trial.Result() == Verdict::None));
}

// Guards against a move that is done while too few new instances run: the old
// ones stop then.
BOOST_AUTO_TEST_CASE(TooFewNewInstancesGetNoMoreRequests)
{
  Replay replay(1);
  replay.newInstances = 3;
  replay.Run();
  BOOST_TEST((replay.trial.Result() == Verdict::None));
  BOOST_TEST(replay.trial.Share() == kFirstShare);
}
