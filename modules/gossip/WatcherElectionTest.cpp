#include "gossip/WatcherElection.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace fireflytrail::gossip;
using namespace std::chrono_literals;

namespace {

std::vector<std::string>
Names(int aCount)
{
  std::vector<std::string> names;
  names.reserve(static_cast<std::size_t>(aCount));
  for (int index = 0; index < aCount; ++index) {
    names.push_back("entry-" + std::to_string(index));
  }
  return names;
}

} // namespace

// Guards against daemons with the same view that elect different watchers.
BOOST_AUTO_TEST_CASE(OrderOfNamesDoesNotMatter)
{
  auto names = Names(19);
  const auto watchers = WatcherElection::Watchers(names);
  BOOST_TEST(watchers.size() == 3U);
  std::reverse(names.begin(), names.end());
  BOOST_TEST(WatcherElection::Watchers(names) == watchers);
  BOOST_TEST(WatcherElection::IsWatcher(watchers[1], names));
}

// Guards against all watchers being replaced when one host fails.
BOOST_AUTO_TEST_CASE(FailureReplacesOnlyTheFailedWatcher)
{
  auto names = Names(19);
  const auto before = WatcherElection::Watchers(names);
  std::erase(names, before[0]);
  const auto after = WatcherElection::Watchers(names);
  BOOST_TEST(after[0] == before[1]);
  BOOST_TEST(after[1] == before[2]);
  std::erase(names, after[2]);
  BOOST_TEST(WatcherElection::Watchers(names)[0] == before[1]);
}

// Guards against an election that fails with fewer hosts than watchers.
BOOST_AUTO_TEST_CASE(AllHostsWatchInASmallFleet)
{
  BOOST_TEST(WatcherElection::Watchers(Names(2)).size() == 2U);
  BOOST_TEST(WatcherElection::Watchers({}).empty());
}

// Guards against all other daemons reading the store at the same moment.
BOOST_AUTO_TEST_CASE(ReadDelayIsAMinuteWithJitter)
{
  std::uint64_t number = 0;
  const auto random = [&] { return number += 7919; };
  auto least = 1h + 0ms;
  auto most = 0ms;
  for (int index = 0; index < 1000; ++index) {
    const auto delay = WatcherElection::NextReadDelay(random);
    least = std::min<std::chrono::milliseconds>(least, delay);
    most = std::max<std::chrono::milliseconds>(most, delay);
  }
  BOOST_TEST((least >= 45s && least < 50s));
  BOOST_TEST((most <= 75s && most > 70s));
}
