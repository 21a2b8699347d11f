#include "calls/RetryBudget.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <atomic>
#include <memory>
#include <thread>
#include <vector>

using namespace fireflytrail;
using namespace fireflytrail::calls;
using namespace std::chrono_literals;

namespace {

struct Clock
{
  core::TimePoint time{ 1h };
  core::NowFunction Function()
  {
    return [this] { return this->time; };
  }
};

} // namespace

// Guards against retries that multiply the load when every attempt fails: in
// any 10 s, there may be at most a tenth as many retries as first attempts.
BOOST_AUTO_TEST_CASE(RetryRatioHoldsInEveryWindowWhenAllAttemptsFail)
{
  Clock clock;
  RetryBudget budget(clock.Function());
  std::vector<core::TimePoint> firstAttempts;
  std::vector<core::TimePoint> retries;
  for (int step = 0; step < 40'000; ++step) {
    clock.time += 1ms;
    budget.CountFirstAttempt();
    firstAttempts.push_back(clock.time);
    if (budget.TryCharge()) {
      retries.push_back(clock.time);
    }
  }
  BOOST_TEST(retries.size() > firstAttempts.size() / 12);
  for (std::size_t last = 0; last < retries.size(); ++last) {
    const auto inWindow = [end = retries[last]](const auto& aTimes) {
      return std::upper_bound(aTimes.begin(), aTimes.end(), end) -
             std::upper_bound(aTimes.begin(), aTimes.end(), end - 10s);
    };
    BOOST_REQUIRE(inWindow(retries) * 10 <= inWindow(firstAttempts));
  }
}

// Guards against unused retries that accumulate and hit a recovering service
// all at once.
BOOST_AUTO_TEST_CASE(OldTrafficExpires)
{
  Clock clock;
  RetryBudget budget(clock.Function());
  for (int call = 0; call < 1000; ++call) {
    budget.CountFirstAttempt();
  }
  clock.time += 11s;
  BOOST_TEST(!budget.TryCharge());
}

// Guards against a retry before there are enough first attempts to allow it.
BOOST_AUTO_TEST_CASE(StartsEmpty)
{
  Clock clock;
  RetryBudget budget(clock.Function());
  BOOST_TEST(!budget.TryCharge());
  budget.CountFirstAttempt();
  BOOST_TEST(!budget.TryCharge());
}

// Guards against 10 % retries at each of 18 levels, which add up to 180 % at
// the deepest: the limit of a service must include calls caused by retries at
// the levels above it.
BOOST_AUTO_TEST_CASE(EighteenLevelsShareTheBudgetOfTheDeepest)
{
  Clock clock;
  std::vector<std::unique_ptr<RetryBudget>> levels;
  levels.reserve(18);
  for (int level = 0; level < 18; ++level) {
    levels.push_back(std::make_unique<RetryBudget>(clock.Function()));
  }
  std::vector<std::uint64_t> callsFromRetries(levels.size());
  constexpr std::uint64_t kCalls = 5000;
  for (std::uint64_t call = 0; call < kCalls; ++call) {
    clock.time += 1ms;
    for (std::size_t level = 0; level < levels.size(); ++level) {
      levels[level]->CountFirstAttempt();
    }
    // Every attempt fails, from the deepest level up.
    for (std::size_t level = levels.size(); level-- > 0;) {
      std::vector<RetryBudget*> lowerLevels;
      for (std::size_t next = level + 1; next < levels.size(); ++next) {
        lowerLevels.push_back(levels[next].get());
      }
      if (levels[level]->TryCharge(lowerLevels)) {
        for (std::size_t next = level; next < levels.size(); ++next) {
          ++callsFromRetries[next];
        }
      }
    }
  }
  for (const std::uint64_t calls : callsFromRetries) {
    BOOST_TEST(calls * 10 <= kCalls);
  }
  BOOST_TEST(callsFromRetries.back() * 13 >= kCalls);
}

// Guards against charging a service for a retry that is refused because the
// budget of a dependency is exhausted.
BOOST_AUTO_TEST_CASE(ChargesNothingIfOneBudgetRefuses)
{
  Clock clock;
  RetryBudget service(clock.Function());
  RetryBudget dependency(clock.Function());
  for (int call = 0; call < 22; ++call) {
    service.CountFirstAttempt();
  }
  for (int call = 0; call < 11; ++call) {
    dependency.CountFirstAttempt();
  }
  BOOST_TEST(dependency.TryCharge());
  RetryBudget* const dependencies[] = { &dependency };
  BOOST_TEST(!service.TryCharge(dependencies));
  BOOST_TEST(service.ChargedMilliRetries() == 0U);
  BOOST_TEST(service.TryCharge());
}

// Guards against concurrent threads that together exceed the budget.
BOOST_AUTO_TEST_CASE(ThreadsTogetherStayWithinTheBudget)
{
  Clock clock;
  RetryBudget budget(clock.Function());
  for (int call = 0; call < 1000; ++call) {
    budget.CountFirstAttempt();
  }
  std::atomic<int> taken{ 0 };
  std::vector<std::jthread> threads;
  threads.reserve(4);
  for (int thread = 0; thread < 4; ++thread) {
    threads.emplace_back([&] {
      for (int attempt = 0; attempt < 1000; ++attempt) {
        taken += budget.TryCharge() ? 1 : 0;
      }
    });
  }
  threads.clear();
  BOOST_TEST(taken == 90);
}

// Guards against daemons that divide the fleet's free retries by too few hosts.
// In one run they divided by 19 in a fleet of 107 hosts and made 1,464 retries
// in 10 s instead of at most 1,427 (kowhai-trail-grown scale-1 --seed
// 212916573942).
BOOST_AUTO_TEST_CASE(FleetAllowanceIsDividedByHosts)
{
  constexpr double kRetryRatio = 0.2;
  constexpr double kFreeRetries = 174;
  for (const std::size_t hosts : { 1U, 19U, 107U, 470U }) {
    const auto part = fireflytrail::calls::RetryBudget::Allowance::OfFleet(
      kRetryRatio, kFreeRetries, hosts);
    BOOST_TEST(static_cast<double>(part.freeRetries * hosts) <= kFreeRetries);
    BOOST_TEST(1.0 / static_cast<double>(part.firstAttemptsPerRetry) <=
               kRetryRatio);
  }
}
