#include "routing/ServerLoad.h"

#include <boost/test/unit_test.hpp>

#include <thread>
#include <vector>

using namespace fireflytrail::routing;
using namespace std::chrono_literals;

namespace {

const fireflytrail::core::TimePoint kStart{ 1s };

ServerIdentity
Identity()
{
  return { .id = "till-1",
           .service = "till-sales",
           .version = "1",
           .address = "127.0.0.1:1",
           .failureDomain = "akl-a" };
}

} // namespace

// Guards against several traffic threads together exceeding the limit that they
// share.
BOOST_AUTO_TEST_CASE(ServerLoadHoldsLimitUnderConcurrentUse)
{
  ServerLoad load(Identity(), 4, 2);
  std::atomic<unsigned> running{ 0 };
  std::atomic<unsigned> excess{ 0 };
  std::vector<std::thread> threads;
  threads.reserve(4);
  for (int thread = 0; thread < 4; ++thread) {
    threads.emplace_back([&] {
      for (int round = 0; round < 20000; ++round) {
        if (const auto token = load.TryAcquire(kStart)) {
          if (running.fetch_add(1) >= 2) {
            excess.fetch_add(1);
          }
          running.fetch_sub(1);
          load.Release(*token, SelectionOutcome::Answered, 1ms, kStart);
        }
      }
    });
  }
  for (auto& thread : threads) {
    thread.join();
  }
  BOOST_TEST(excess.load() == 0U);
  BOOST_TEST(load.InFlight() == 0U);
  BOOST_TEST(load.OldestInFlight(kStart + 1s).count() == 0);
}

// Guards against new calls to a server that reported that it is draining.
BOOST_AUTO_TEST_CASE(ServerLoadRefusesDrainingServer)
{
  ServerLoad load(Identity(), 4);
  BOOST_TEST(load.Usable());
  load.RecordReport(
    { .inFlight = 0, .slots = 4, .start = 1, .state = ReportedState::Draining },
    kStart);
  BOOST_TEST(!load.Usable());
  BOOST_TEST(!load.TryAcquire(kStart).has_value());
}

// Guards against a server appearing fast because its failures return quickly.
BOOST_AUTO_TEST_CASE(ServerLoadKeepsFailuresOutOfServiceTime)
{
  ServerLoad load(Identity(), 4);
  const auto use = [&](SelectionOutcome aOutcome,
                       std::chrono::nanoseconds aDuration) {
    const auto token = load.TryAcquire(kStart);
    BOOST_REQUIRE(token.has_value());
    load.Release(*token, aOutcome, aDuration, kStart);
  };
  use(SelectionOutcome::Answered, 10ms);
  use(SelectionOutcome::Failed, 1us);
  use(SelectionOutcome::Refused, 1us);
  use(SelectionOutcome::ConnectionLost, 1us);
  use(SelectionOutcome::Cancelled, 1us);
  BOOST_TEST((load.ServiceTime() == 10ms));
  BOOST_TEST(load.Counts().failed == 1U);
  BOOST_TEST(load.Counts().refused == 1U);
  BOOST_TEST(load.Counts().lost == 1U);
  BOOST_TEST((load.RefusedAt() == kStart));
}

// Guards against a stuck call remaining undetected until it ends.
BOOST_AUTO_TEST_CASE(ServerLoadReportsOldestCallInFlight)
{
  ServerLoad load(Identity(), 4);
  const auto first = load.TryAcquire(kStart);
  const auto second = load.TryAcquire(kStart + 10ms);
  BOOST_REQUIRE(first.has_value());
  BOOST_REQUIRE(second.has_value());
  BOOST_TEST((load.OldestInFlight(kStart + 50ms) == 50ms));
  load.Release(*first, SelectionOutcome::Answered, 50ms, kStart + 50ms);
  BOOST_TEST((load.OldestInFlight(kStart + 50ms) == 40ms));
  load.Release(*second, SelectionOutcome::Answered, 40ms, kStart + 50ms);
  BOOST_TEST((load.OldestInFlight(kStart + 50ms) == 0ms));
}
