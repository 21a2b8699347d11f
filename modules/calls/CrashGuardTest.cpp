#include "calls/CrashGuard.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <vector>

using namespace fireflytrail;
using namespace fireflytrail::calls;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t kCrashing = 10;
constexpr std::uint64_t kHealthy = 20;

struct Fixture
{
  core::TimePoint time{ 1h };
  core::NowFunction Now()
  {
    return [this] { return this->time; };
  }
};

} // namespace

// Guards against a request that crashes more than 3 servers.
BOOST_AUTO_TEST_CASE(BlocksAfterThreeDeaths)
{
  Fixture fixture;
  CrashGuard guard(fixture.Now());
  for (std::uint64_t death = 1; death <= 3; ++death) {
    BOOST_TEST(!guard.IsBlocked(kCrashing));
    guard.RecordDeath(kCrashing, death);
    // Several connections report the same death.
    guard.RecordDeath(kCrashing, death);
  }
  BOOST_TEST(guard.IsBlocked(kCrashing));
  fixture.time += 10min;
  BOOST_TEST(!guard.IsBlocked(kCrashing));
}

// Guards against blocking a healthy request: when it completes, its earlier
// deaths no longer count.
BOOST_AUTO_TEST_CASE(CompletionClearsDeaths)
{
  Fixture fixture;
  CrashGuard guard(fixture.Now());
  guard.RecordDeath(kHealthy, 1);
  guard.RecordDeath(kHealthy, 2);
  guard.RecordCompletion(kHealthy);
  guard.RecordDeath(kHealthy, 3);
  BOOST_TEST(guard.DeathCount(kHealthy) == 1U);
}

// Guards against blocking a healthy request that was running next to a crashing
// one at several deaths: they are attributed to the request with more deaths.
BOOST_AUTO_TEST_CASE(DeathsAreAttributedToTheCrashingRequest)
{
  Fixture fixture;
  CrashGuard guard(fixture.Now());
  for (std::uint64_t death = 1; death <= 4; ++death) {
    guard.RecordDeath(kCrashing, death);
    if (death > 1) {
      guard.RecordDeath(kHealthy, death);
    }
  }
  BOOST_TEST(guard.IsBlocked(kCrashing));
  BOOST_TEST(!guard.IsBlocked(kHealthy));
}

// Guards against daemons with different states because entries reached them in
// a different order, twice, or after the entry had been cleared.
BOOST_AUTO_TEST_CASE(MergesInAnyOrder)
{
  std::vector<CrashEntry> entries{
    { kCrashing, 1 }, { kCrashing, 2 },       { kCrashing, 3 },
    { kHealthy, 1 },  { kHealthy, 2, false }, { kHealthy, 2, true },
  };
  Fixture fixture;
  std::vector<std::size_t> order{ 0, 1, 2, 3, 4, 5 };
  std::vector<CrashEntry> expected;
  do {
    CrashGuard guard(fixture.Now());
    for (const std::size_t index : order) {
      guard.Merge(entries[index]);
      guard.Merge(entries[order.front()]);
    }
    if (expected.empty()) {
      expected = guard.Entries();
    }
    BOOST_REQUIRE((guard.Entries() == expected));
    BOOST_REQUIRE(guard.IsBlocked(kCrashing));
    BOOST_REQUIRE_EQUAL(guard.DeathCount(kHealthy), 1U);
  } while (std::next_permutation(order.begin(), order.end()));
}

// Guards against entries that daemons send to each other endlessly.
BOOST_AUTO_TEST_CASE(PublishesOnlyNewEntries)
{
  Fixture fixture;
  int published = 0;
  CrashGuard guard(fixture.Now(), [&](const CrashEntry&) { ++published; });
  guard.Merge({ kCrashing, 1 });
  guard.Merge({ kCrashing, 1 });
  BOOST_TEST(published == 1);
  guard.RecordCompletion(kCrashing);
  guard.RecordCompletion(kCrashing);
  BOOST_TEST(published == 2);
  guard.Merge({ kCrashing, 2, false, 10min });
  BOOST_TEST(published == 2);
}

// Guards against unbounded memory when many different requests fail.
BOOST_AUTO_TEST_CASE(EntriesAreBounded)
{
  Fixture fixture;
  CrashGuard guard(fixture.Now());
  for (std::uint64_t digest = 0; digest < CrashGuard::kMaxEntries + 50;
       ++digest) {
    fixture.time += 1ms;
    guard.RecordDeath(digest, 1);
  }
  BOOST_TEST(guard.Entries().size() == CrashGuard::kMaxEntries);
  BOOST_TEST(guard.DeathCount(0) == 0U);
}

// Guards against counting several deaths of one server as a single death
// because the identity of the server process is unknown.
BOOST_AUTO_TEST_CASE(DeathsOfAServerAreDistinct)
{
  BOOST_TEST(CrashGuard::DeathIdOf("a", 1, 5) ==
             CrashGuard::DeathIdOf("a", 1, 6));
  BOOST_TEST(CrashGuard::DeathIdOf("a", 1, 5) !=
             CrashGuard::DeathIdOf("a", 2, 5));
  BOOST_TEST(CrashGuard::DeathIdOf("a", 0, 5) !=
             CrashGuard::DeathIdOf("a", 0, 6));
}
