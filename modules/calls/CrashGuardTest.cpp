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

// Guards against a request that takes down more than 3 servers.
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

// Guards against blame for healthy requests: one that completes is cleared.
BOOST_AUTO_TEST_CASE(CompletionClears)
{
  Fixture fixture;
  CrashGuard guard(fixture.Now());
  guard.RecordDeath(kHealthy, 1);
  guard.RecordDeath(kHealthy, 2);
  guard.RecordCompletion(kHealthy);
  guard.RecordDeath(kHealthy, 3);
  BOOST_TEST(guard.DeathsOf(kHealthy) == 1U);
}

// Guards against blame for a healthy request that was beside a crashing one at
// several deaths: the deaths are explained by the request with more of them.
BOOST_AUTO_TEST_CASE(DeathsBesideACrashingRequestAreExplained)
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

// Guards against daemons that disagree because news reached them in another
// order, twice, or after a clearing.
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
    BOOST_REQUIRE_EQUAL(guard.DeathsOf(kHealthy), 1U);
  } while (std::next_permutation(order.begin(), order.end()));
}

// Guards against news that circulates between daemons for ever.
BOOST_AUTO_TEST_CASE(SpreadsOnlyWhatIsNew)
{
  Fixture fixture;
  int spread = 0;
  CrashGuard guard(fixture.Now(), [&](const CrashEntry&) { ++spread; });
  guard.Merge({ kCrashing, 1 });
  guard.Merge({ kCrashing, 1 });
  BOOST_TEST(spread == 1);
  guard.RecordCompletion(kCrashing);
  guard.RecordCompletion(kCrashing);
  BOOST_TEST(spread == 2);
  guard.Merge({ kCrashing, 2, false, 10min });
  BOOST_TEST(spread == 2);
}

// Guards against memory that grows with the number of failing requests.
BOOST_AUTO_TEST_CASE(IsBounded)
{
  Fixture fixture;
  CrashGuard guard(fixture.Now());
  for (std::uint64_t digest = 0; digest < CrashGuard::kMostEntries + 50;
       ++digest) {
    fixture.time += 1ms;
    guard.RecordDeath(digest, 1);
  }
  BOOST_TEST(guard.Entries().size() == CrashGuard::kMostEntries);
  BOOST_TEST(guard.DeathsOf(0) == 0U);
}

// Guards against deaths of one server that are taken for one death because its
// start identity is not known.
BOOST_AUTO_TEST_CASE(DeathsOfAServerAreToldApart)
{
  BOOST_TEST(CrashGuard::DeathOf("a", 1, 5) == CrashGuard::DeathOf("a", 1, 6));
  BOOST_TEST(CrashGuard::DeathOf("a", 1, 5) != CrashGuard::DeathOf("a", 2, 5));
  BOOST_TEST(CrashGuard::DeathOf("a", 0, 5) != CrashGuard::DeathOf("a", 0, 6));
}
