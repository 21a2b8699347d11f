#include "gossip/VirtualNetwork.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <numeric>
#include <set>

using namespace fireflytrail::gossip;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kHostCount = 19;

std::vector<std::size_t>
AllHosts(std::size_t aCount = kHostCount)
{
  std::vector<std::size_t> all(aCount);
  std::iota(all.begin(), all.end(), 0);
  return all;
}

/**
 * Starts hosts, 19 by default, with a correct host list and runs until they
 * know each other.
 */
struct Fleet
{
  explicit Fleet(std::uint64_t aSeed, std::size_t aCount = kHostCount)
    : network(aSeed)
    , count(aCount)
  {
    this->network.accepted = [this](std::size_t aIndex,
                                    std::uint64_t aVersion) {
      // A process applies only newer versions; a restarted one may apply the
      // version of its predecessor again, but never a lower one.
      const unsigned generation = this->network.hosts[aIndex].generation;
      Applied& last = this->applied[aIndex];
      BOOST_TEST(aVersion >=
                 last.version + (generation == last.generation ? 1 : 0));
      last = { generation, aVersion };
    };
    this->applied.resize(aCount);
    for (std::size_t index = 0; index < aCount; ++index) {
      this->network.Start(index);
    }
    for (std::size_t index = 0; index < aCount; ++index) {
      this->network.SetList(index, AllHosts(aCount));
    }
    this->network.Run(20s);
  }

  std::uint64_t Held(std::size_t aIndex)
  {
    return this->network.Node(aIndex).Desired().HeldVersion();
  }

  std::size_t CountHolding(std::uint64_t aVersion)
  {
    std::size_t holding = 0;
    for (std::size_t index = 0; index < this->count; ++index) {
      holding += this->Held(index) == aVersion ? 1 : 0;
    }
    return holding;
  }

  std::size_t CountKnowing(std::size_t aOrigin, std::string_view aKey)
  {
    std::size_t knowing = 0;
    for (std::size_t index = 0; index < this->count; ++index) {
      knowing += this->network.Node(index).State().FindRecord(
                   this->network.hosts[aOrigin].name, aKey) != nullptr
                   ? 1
                   : 0;
    }
    return knowing;
  }

  MemberState StateAt(std::size_t aObserver, std::size_t aHost)
  {
    return this->network.Node(aObserver)
      .Members()
      .StateOf(this->network.hosts[aHost].name)
      .value_or(MemberState::Dead);
  }

  /** Checks after each second that no running daemon counts too few hosts. */
  void RunChecked(std::chrono::seconds aTime, std::size_t aTrueCount)
  {
    for (auto passed = 0s; passed < aTime; passed += 1s) {
      this->network.Run(1s);
      for (std::size_t index = 0; index < this->count; ++index) {
        const auto& host = this->network.hosts[index];
        if (host.isUp && host.pausedUntil <= this->network.Now()) {
          BOOST_TEST(host.node->Members().ConservativeHostCount() >=
                     aTrueCount);
        }
      }
    }
  }

  struct Applied
  {
    unsigned generation = 0;
    std::uint64_t version = 0;
  };

  VirtualNetwork network;
  std::size_t count;
  std::vector<Applied> applied;
};

} // namespace

// Guards against a change that not all daemons have applied within 5 s.
BOOST_AUTO_TEST_CASE(AllAgreeOnNewestVersionWithinFiveSeconds)
{
  for (const std::uint64_t seed : { 1, 2, 3, 4, 5 }) {
    Fleet fleet(seed);
    fleet.network.Node(3).Desired().OfferFromStore(1, "one");
    fleet.network.Run(5s);
    BOOST_TEST(fleet.CountHolding(1) == kHostCount);
    // Several watchers read the next version at about the same time.
    for (const std::size_t watcher : { 1, 7, 11 }) {
      fleet.network.Node(watcher).Desired().OfferFromStore(2, "two");
    }
    fleet.network.Run(5s);
    BOOST_TEST(fleet.CountHolding(2) == kHostCount);
    BOOST_TEST(fleet.network.Node(0).Desired().Document() == "two");
    for (std::size_t index = 0; index < kHostCount; ++index) {
      const auto status = fleet.network.Node(0).Desired().StatusOf(
        fleet.network.hosts[index].name);
      BOOST_REQUIRE(status.has_value());
      BOOST_TEST(status->appliedVersion == 2U);
    }
  }
}

// Guards against urgent records (verdicts, crash entries) that are delayed
// until the next exchange.
BOOST_AUTO_TEST_CASE(UrgentRecordReachesAllWithinOneSecond)
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Fleet fleet(seed);
    fleet.network.Node(5).Exchanger().PublishUrgent("verdict", "taken back");
    fleet.network.Run(1s);
    BOOST_TEST(fleet.CountKnowing(5, "verdict") == kHostCount);
  }
}

// Guards against urgent records that are delayed by the loss of messages.
BOOST_AUTO_TEST_CASE(UrgentRecordReachesAllWithinThreeSecondsUnderLoss)
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Fleet fleet(seed);
    fleet.network.loss = 0.2;
    fleet.network.Node(5).Exchanger().PublishUrgent("verdict", "taken back");
    fleet.network.Run(3s);
    BOOST_TEST(fleet.CountKnowing(5, "verdict") == kHostCount);
  }
}

// Guards against a partitioned peer that distributes its old version
// afterwards.
BOOST_AUTO_TEST_CASE(LaggingPeerNeverRestoresAnOlderVersion)
{
  Fleet fleet(1);
  auto& network = fleet.network;
  network.Node(0).Desired().OfferFromStore(1, "one");
  network.Run(5s);
  network.isPartitioned = [](std::size_t aFrom, std::size_t aTo) {
    return (aFrom == 18) != (aTo == 18);
  };
  network.Node(0).Desired().OfferFromStore(2, "two");
  network.Run(5s);
  BOOST_TEST(fleet.CountHolding(2) == kHostCount - 1);
  BOOST_TEST(fleet.Held(18) == 1U);
  network.isPartitioned = nullptr;
  network.Run(10s);
  BOOST_TEST(fleet.CountHolding(2) == kHostCount);
  BOOST_TEST(!network.Node(0).Desired().OfferFromStore(1, "one"));
}

// Guards against a restarted daemon that accepts an old version from the first
// peer that replies, here one that was partitioned until the restart.
BOOST_AUTO_TEST_CASE(RestartNeverRestoresAnOlderVersion)
{
  for (const std::uint64_t seed : { 1, 2, 3, 4, 5 }) {
    Fleet fleet(seed);
    auto& network = fleet.network;
    network.Node(0).Desired().OfferFromStore(1, "one");
    network.Run(5s);
    network.isPartitioned = [](std::size_t aFrom, std::size_t aTo) {
      return (aFrom == 18) != (aTo == 18);
    };
    network.Node(0).Desired().OfferFromStore(2, "two");
    network.Run(5s);
    network.isPartitioned = nullptr;
    network.Start(4);
    network.SetList(4, AllHosts());
    network.Run(10s);
    // The callback `accepted` checks that no process of a host applies a lower
    // version.
    BOOST_TEST(fleet.CountHolding(2) == kHostCount);
  }
}

// Guards against a restarted daemon that applies an old version because at
// first it reaches only a peer with that version.
BOOST_AUTO_TEST_CASE(RestartWaitsForSeveralPeersBeforeItsFirstVersion)
{
  // With few hosts, the restarted daemon soon selects the lagging one for an
  // exchange.
  constexpr std::size_t kFew = 4;
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    Fleet fleet(seed, kFew);
    auto& network = fleet.network;
    network.Node(0).Desired().OfferFromStore(1, "one");
    network.Run(5s);
    network.isPartitioned = [](std::size_t aFrom, std::size_t aTo) {
      return (aFrom == 3) != (aTo == 3);
    };
    network.Node(0).Desired().OfferFromStore(2, "two");
    network.Run(5s);
    BOOST_TEST(fleet.Held(1) == 2U);
    // Daemons 1 and 3 reach only each other for 1.5 s after the restart.
    network.isPartitioned = [](std::size_t aFrom, std::size_t aTo) {
      return (aFrom == 1 || aFrom == 3) != (aTo == 1 || aTo == 3);
    };
    network.Start(1);
    network.SetList(1, { 1, 3 });
    network.Run(1500ms);
    BOOST_TEST(network.Node(1).Desired().NewestSeen() == 1U);
    network.isPartitioned = nullptr;
    network.SetList(1, AllHosts(kFew));
    network.Run(10s);
    BOOST_TEST(fleet.CountHolding(2) == kFew);
  }
}

// Guards against daemons that are not stale when they resume after a pause, or
// that consider all others dead then.
BOOST_AUTO_TEST_CASE(PausedDaemonsResumeStaleAndRecover)
{
  for (const std::uint64_t seed : { 1, 2, 3 }) {
    Fleet fleet(seed);
    auto& network = fleet.network;
    network.Pause(2, 30s);
    network.Pause(9, 30s);
    fleet.RunChecked(29s, kHostCount);
    BOOST_TEST((fleet.StateAt(0, 2) != MemberState::Alive));
    BOOST_TEST(network.Node(2).Exchanger().IsStale());
    network.Run(1001ms);
    BOOST_TEST((fleet.StateAt(2, 0) == MemberState::Alive));
    fleet.RunChecked(5s, kHostCount);
    BOOST_TEST(!network.Node(2).Exchanger().IsStale());
    BOOST_TEST(!network.Node(9).Exchanger().IsStale());
    BOOST_TEST((fleet.StateAt(0, 2) == MemberState::Alive));
    BOOST_TEST((fleet.StateAt(0, 9) == MemberState::Alive));
  }
}

// Guards against two daemons that resume at the same time, partitioned from the
// rest, and end staleness by an exchange with each other.
BOOST_AUTO_TEST_CASE(StaleDaemonsDoNotClearEachOthersStaleness)
{
  Fleet fleet(1);
  auto& network = fleet.network;
  network.isPartitioned = [](std::size_t aFrom, std::size_t aTo) {
    return (aFrom < 2) != (aTo < 2);
  };
  network.Pause(0, 30s);
  network.Pause(1, 30s);
  network.Run(100s);
  BOOST_TEST(network.Node(0).Exchanger().IsStale());
  BOOST_TEST(network.Node(1).Exchanger().IsStale());
  network.isPartitioned = nullptr;
  network.Run(20s);
  BOOST_TEST(!network.Node(0).Exchanger().IsStale());
  BOOST_TEST(!network.Node(1).Exchanger().IsStale());
}

// Guards against a fleet that remains stale forever after a pause of all hosts.
BOOST_AUTO_TEST_CASE(FleetRecoversWhenAllPause)
{
  Fleet fleet(1);
  for (std::size_t index = 0; index < kHostCount; ++index) {
    fleet.network.Pause(index, 30s);
  }
  fleet.network.Run(60s);
  for (std::size_t index = 0; index < kHostCount; ++index) {
    BOOST_TEST(!fleet.network.Node(index).Exchanger().IsStale());
    BOOST_TEST((fleet.StateAt(0, index) == MemberState::Alive));
  }
}

// Guards against budgets divided by too few hosts during a partition, and
// against sides that do not reconnect afterwards.
BOOST_AUTO_TEST_CASE(PartitionOfOneThirdForMinutesHeals)
{
  for (const bool isListed : { true, false }) {
    Fleet fleet(1);
    auto& network = fleet.network;
    network.Node(0).Desired().OfferFromStore(1, "one");
    network.Run(5s);
    network.isPartitioned = [](std::size_t aFrom, std::size_t aTo) {
      return (aFrom < 6) != (aTo < 6);
    };
    if (!isListed) {
      // The host list is outdated and half of the hosts are missing from it.
      for (std::size_t index = 0; index < kHostCount; ++index) {
        network.SetList(index, { 0, 2, 4, 6, 8, 10, 12, 14, 16 });
      }
    }
    fleet.RunChecked(60s, kHostCount);
    network.Node(10).Desired().OfferFromStore(2, "two");
    fleet.RunChecked(240s, kHostCount);
    BOOST_TEST(fleet.CountHolding(2) == 13U);
    BOOST_TEST((fleet.StateAt(10, 0) == MemberState::Dead));
    BOOST_REQUIRE(network.Node(10).State().FindOrigin("entry-00") != nullptr);
    const auto startBefore =
      network.Node(10).State().FindOrigin("entry-00")->id.start;
    network.isPartitioned = nullptr;
    fleet.RunChecked(20s, kHostCount);
    BOOST_TEST(fleet.CountHolding(2) == kHostCount);
    for (std::size_t index = 0; index < kHostCount; ++index) {
      BOOST_TEST((fleet.StateAt(10, index) == MemberState::Alive));
      BOOST_TEST((fleet.StateAt(0, index) == MemberState::Alive));
    }
    BOOST_TEST(network.Node(10).State().FindOrigin("entry-00")->id.start ==
               startBefore);
  }
}

// Guards against daemons that remain unknown because they are missing from the
// host list, and against listed hosts that do not exist but become alive.
BOOST_AUTO_TEST_CASE(HostListWithHalfOfTheEntriesWrong)
{
  VirtualNetwork network(1);
  for (std::size_t index = 0; index < kHostCount; ++index) {
    network.Start(index);
  }
  // Half of the listed hosts do not exist; half of the hosts are not listed.
  std::vector<ListedHost> list;
  for (std::size_t index = 0; index < kHostCount; index += 2) {
    list.push_back(
      { network.hosts[index].name, "10.0.0." + std::to_string(index), false });
    list.push_back({ "gone-" + std::to_string(index), "10.0.1.1", false });
  }
  for (std::size_t index = 0; index < kHostCount; ++index) {
    network.Node(index).Members().SetHostList(list);
  }
  network.Run(40s);
  for (std::size_t index = 0; index < kHostCount; ++index) {
    const Membership& members = network.Node(index).Members();
    BOOST_TEST(members.AliveNames().size() == kHostCount);
    BOOST_TEST(members.ConservativeHostCount() >= kHostCount);
    BOOST_TEST((members.StateOf("gone-0") == MemberState::Suspect));
  }
}

// Guards against too low a host count when half of the hosts are not listed,
// and at a restarted daemon that receives the identities of the other hosts
// gradually because of the byte limit.
BOOST_AUTO_TEST_CASE(HalfOfTheHostsMissingFromTheHostList)
{
  VirtualNetwork network(1);
  constexpr std::size_t kLargeCount = 60;
  std::vector<std::size_t> listed;
  for (std::size_t index = 0; index < kLargeCount; ++index) {
    network.Start(index);
    if (index % 2 == 0) {
      listed.push_back(index);
    }
    // Large records fill the byte limit of an exchange.
    network.Node(index).State().SetRecord("large", std::string(2000, 'v'));
  }
  for (std::size_t index = 0; index < kLargeCount; ++index) {
    network.SetList(index, listed);
  }
  network.Run(60s);
  for (std::size_t index = 0; index < kLargeCount; ++index) {
    BOOST_TEST(network.Node(index).Members().ConservativeHostCount() ==
               kLargeCount);
  }
  network.Start(7);
  network.SetList(7, listed);
  while (!network.Node(7).Exchanger().LastExchange()) {
    network.Run(10ms);
  }
  for (int step = 0; step < 100; ++step) {
    BOOST_TEST(network.Node(7).Members().ConservativeHostCount() >=
               kLargeCount);
    network.Run(100ms);
  }
}

// Guards against records of an earlier process that are kept or reintroduced
// after a restart, and against confusing the new process with the old one.
BOOST_AUTO_TEST_CASE(RestartWithSameNameReplacesTheOldProcess)
{
  for (const auto skew : { 0ms, -3'600'000ms }) {
    Fleet fleet(1);
    auto& network = fleet.network;
    network.Node(4).Exchanger().PublishUrgent("old", "x");
    network.Run(2s);
    BOOST_TEST(fleet.CountKnowing(4, "old") == kHostCount);
    // One peer is partitioned meanwhile and keeps the records of the old
    // process.
    network.isPartitioned = [](std::size_t aFrom, std::size_t aTo) {
      return (aFrom == 18) != (aTo == 18);
    };
    network.hosts[4].clockSkew = skew;
    network.Start(4);
    network.SetList(4, AllHosts());
    network.Node(4).Exchanger().PublishUrgent("new", "y");
    fleet.RunChecked(40s, kHostCount);
    BOOST_TEST(fleet.CountKnowing(4, "old") == 1U);
    BOOST_TEST(fleet.CountKnowing(4, "new") == kHostCount - 1);
    network.isPartitioned = nullptr;
    fleet.RunChecked(20s, kHostCount);
    BOOST_TEST(fleet.CountKnowing(4, "old") == 0U);
    BOOST_TEST(fleet.CountKnowing(4, "new") == kHostCount);
    BOOST_TEST(!network.Node(4).State().IsSuperseded());
    BOOST_TEST((fleet.StateAt(0, 4) == MemberState::Alive));
  }
}

// Guards against a leaving daemon that others count for minutes after it has
// stopped, and against an announcement that reaches them too late.
BOOST_AUTO_TEST_CASE(LeavingSpreadsAtOnceAndHostIsNotCountedAfterStop)
{
  Fleet fleet(1);
  auto& network = fleet.network;
  network.Node(7).AnnounceLeaving();
  network.Run(1s);
  BOOST_TEST((fleet.StateAt(0, 7) == MemberState::Leaving));
  network.Stop(7);
  network.SetList(0, { 0, 1 });
  network.Run(60s);
  BOOST_TEST(network.Node(0).Members().ConservativeHostCount() ==
             kHostCount - 1);
}

// Guards against one daemon that sends the document to all others, which would
// exceed its byte budget.
BOOST_AUTO_TEST_CASE(NoDaemonSendsTheDocumentToTheWholeFleet)
{
  Fleet fleet(1);
  auto& network = fleet.network;
  std::vector<std::size_t> documents(kHostCount);
  network.Node(0).Desired().OfferFromStore(1, std::string(30'000, 'x'));
  network.sizeOf = [](const GossipMessage& aMessage) {
    const auto* response = std::get_if<DesiredResponse>(&aMessage);
    return response == nullptr ? 0 : response->document.size();
  };
  for (auto& host : network.hosts) {
    host.bytesSent = 0;
  }
  network.Run(5s);
  BOOST_TEST(fleet.CountHolding(1) == kHostCount);
  for (const auto& host : network.hosts) {
    BOOST_TEST(host.bytesSent <= 4U * 30'000U);
  }
}
