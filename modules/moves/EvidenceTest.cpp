#include "moves/Evidence.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>
#include <tuple>
#include <vector>

using namespace fireflytrail::moves;
using fireflytrail::core::DaemonId;

namespace {

EvidenceWindow
SnapshotOf(std::uint64_t aCalls, std::size_t aWindow = 0)
{
  EvidenceWindow window;
  window.window = aWindow;
  window.sequence = aCalls;
  auto& route = window.routes["sell"];
  route.domains["a"].newVersion.calls = aCalls;
  route.domains["a"].newVersion.failures = aCalls / 10;
  route.newFailureGroups = aCalls >= 10 ? 1 : 0;
  return window;
}

} // namespace

// Guards against sums that depend on the order of messages or on duplicate
// messages.
BOOST_AUTO_TEST_CASE(MergingIsIndependentOfOrder)
{
  std::vector<std::tuple<DaemonId, std::size_t, std::uint64_t>> messages;
  for (std::uint64_t daemon = 1; daemon <= 5; ++daemon) {
    for (std::uint64_t calls = 1; calls <= 40; calls += 3) {
      messages.emplace_back(
        DaemonId{ "entry", daemon }, calls % 2, calls * daemon);
    }
  }
  Evidence inOrder;
  for (const auto& [origin, window, calls] : messages) {
    inOrder.Merge(origin, SnapshotOf(calls, window));
  }
  std::mt19937_64 engine(3);
  for (int round = 0; round < 20; ++round) {
    auto shuffled = messages;
    shuffled.insert(shuffled.end(), messages.begin(), messages.begin() + 10);
    std::ranges::shuffle(shuffled, engine);
    Evidence evidence;
    for (const auto& [origin, window, calls] : shuffled) {
      evidence.Merge(origin, SnapshotOf(calls, window));
    }
    BOOST_TEST((evidence.Sums() == inOrder.Sums()));
  }
}

// Guards against a daemon that joins late and considers the evidence
// insufficient because it receives only the current windows of the others.
BOOST_AUTO_TEST_CASE(CountsCallsOfWindowsNotReceived)
{
  Evidence evidence;
  EvidenceWindow snapshot = SnapshotOf(5, 7);
  snapshot.routes["sell"].newCallsSoFar = 60;
  evidence.Merge({ "entry", 1 }, snapshot);
  evidence.Merge({ "entry", 2 }, snapshot);
  BOOST_TEST(evidence.NewCalls().at("sell") == 120U);
  // An earlier window that arrives late adds nothing.
  snapshot.routes["sell"].newCallsSoFar = 55;
  snapshot.window = 6;
  evidence.Merge({ "entry", 1 }, snapshot);
  BOOST_TEST(evidence.NewCalls().at("sell") == 120U);
}

// Guards against a restarted daemon replacing the counters of its previous
// process.
BOOST_AUTO_TEST_CASE(RestartedDaemonIsAnotherOrigin)
{
  Evidence evidence;
  evidence.Merge({ "entry", 1 }, SnapshotOf(50));
  evidence.Merge({ "entry", 2 }, SnapshotOf(7));
  BOOST_TEST(evidence.OriginCount() == 2U);
  BOOST_TEST(
    evidence.Sums()[0].routes.at("sell").domains.at("a").newVersion.calls ==
    57U);
}
