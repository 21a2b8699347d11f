#include "moves/EvidenceWindow.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

using namespace fireflytrail::moves;

namespace {

EvidenceWindow
WindowWith(std::size_t aRoutes, std::size_t aDomains, std::uint64_t aCount)
{
  EvidenceWindow window;
  window.window = 40;
  window.sequence = aCount;
  for (std::size_t index = 0; index < aRoutes; ++index) {
    RouteEvidence& route = window.routes[fmt::format("route{}", index)];
    for (std::size_t domain = 0; domain < aDomains; ++domain) {
      auto& counters = route.domains[fmt::format("domain{}", domain)];
      counters.oldVersion = { aCount, 1, aCount, aCount / 4, aCount / 20 };
      counters.newVersion = { aCount / 20, 2, aCount / 20, 1, 0 };
    }
    for (CallCounters& group : route.oldGroups) {
      group = { 0, 0, aCount / 4, aCount / 16, 3 };
    }
    route.newFailureGroups = 0xa5;
    route.newCallsSoFar = aCount * 10;
  }
  return window;
}

} // namespace

// Guards against counters that change when they are sent to another daemon.
BOOST_AUTO_TEST_CASE(EvidenceSurvivesSerialization)
{
  for (const std::uint64_t count : { 0ULL, 100ULL, 70'000ULL, 1ULL << 40 }) {
    const EvidenceWindow window = WindowWith(3, 2, count);
    const auto parsed = EvidenceWindow::Parse(window.Serialize());
    BOOST_REQUIRE(parsed.has_value());
    BOOST_TEST((parsed.value() == window));
  }
  BOOST_TEST(EvidenceWindow::Parse(EvidenceWindow{}.Serialize()).has_value());
}

// Guards against a gossip record that grows with the number of calls: one
// window with 2 routes, 3 failure domains and a few hundred calls stays below
// 200 bytes, and no count makes it larger than 1,000 bytes.
BOOST_AUTO_TEST_CASE(SizeIsBounded)
{
  const std::size_t usual = WindowWith(2, 3, 250).Serialize().size();
  const std::size_t largest = WindowWith(2, 3, ~0ULL).Serialize().size();
  BOOST_TEST_MESSAGE("bytes: usual " << usual << ", largest " << largest);
  BOOST_TEST(usual < 200U);
  BOOST_TEST(largest < 1000U);
}

// Guards against a crash or wrong counters when parsing corrupt bytes.
BOOST_AUTO_TEST_CASE(HandlesCorruptBytes)
{
  const std::string bytes = WindowWith(2, 2, 300).Serialize();
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    // A truncated buffer has a different root, which may happen to be valid, so
    // that only crashes are detected here.
    (void)EvidenceWindow::Parse(bytes.substr(0, size));
  }
  for (std::size_t index = 0; index < bytes.size(); ++index) {
    for (const int mask : { 0x01, 0x80, 0xff }) {
      std::string corrupted = bytes;
      corrupted[index] = static_cast<char>(corrupted[index] ^ mask);
      (void)EvidenceWindow::Parse(corrupted);
    }
  }
  BOOST_TEST(!EvidenceWindow::Parse("").has_value());
  EvidenceWindow outside = WindowWith(1, 1, 1);
  outside.window = EvidenceWindow::kWindows;
  BOOST_TEST(!EvidenceWindow::Parse(outside.Serialize()).has_value());
  BOOST_TEST(!EvidenceWindow::Parse("abcdef").has_value());
}
