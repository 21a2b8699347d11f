#include "gossip/GossipExchanger.h"

#include "gossip/GossipState.h"
#include "gossip/Membership.h"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace fireflytrail;
using namespace fireflytrail::gossip;
using namespace std::chrono_literals;

namespace {

struct Fixture
{
  explicit Fixture(std::size_t aPeers)
    : now([this] { return this->current; })
    , state({ "self", 1 }, 100, this->now)
    , membership(this->state, this->now)
    , exchanger(
        this->state,
        this->membership,
        this->now,
        [this] {
          // The high bits, since the low ones repeat after a few numbers.
          return (this->number += 0x9e3779b97f4a7c15) >> 16U;
        },
        [this](const Peer& aPeer, const GossipMessage& aMessage) {
          this->sent.emplace_back(aPeer.name, aMessage);
        })
  {
    std::vector<ListedHost> hosts;
    for (std::size_t index = 0; index < aPeers; ++index) {
      hosts.push_back({ "peer-" + std::to_string(index), "10.0.0.1:1", false });
    }
    this->membership.SetHostList(hosts);
  }

  void Run(std::chrono::milliseconds aTime)
  {
    for (auto passed = 0ms; passed < aTime; passed += 100ms) {
      this->current += 100ms;
      this->exchanger.Tick();
    }
  }

  /** Replies to the digest that was sent last. */
  void Reply(const std::string& aFrom, bool aIsStale)
  {
    Delta reply;
    reply.exchange = std::get<Digest>(this->sent.back().second).exchange;
    reply.senderIsStale = aIsStale;
    this->exchanger.Receive(aFrom, reply);
  }

  core::TimePoint current{ 1h };
  std::uint64_t number = 0;
  core::NowFunction now;
  std::vector<std::pair<std::string, GossipMessage>> sent;
  GossipState state;
  Membership membership;
  GossipExchanger exchanger;
};

} // namespace

// Guards against peers that are never selected for an exchange.
BOOST_AUTO_TEST_CASE(EachPeerIsSelectedOncePerRound)
{
  Fixture fixture(10);
  fixture.Run(11s);
  std::set<std::string> asked;
  for (const auto& [name, message] : fixture.sent) {
    asked.insert(name);
  }
  BOOST_TEST(asked.size() == 10U);
  BOOST_TEST(fixture.sent.size() <= 12U);
}

// Guards against a pause that is not detected until the next tick, and against
// staleness that is ended by a reply to an exchange from before the pause.
BOOST_AUTO_TEST_CASE(PauseMakesViewStaleUntilValidExchange)
{
  Fixture fixture(10);
  fixture.Run(5s);
  const auto before = fixture.sent.back();
  fixture.current += 30s;
  BOOST_TEST(fixture.exchanger.IsStale());
  Delta late;
  late.exchange = std::get<Digest>(before.second).exchange;
  fixture.exchanger.Receive(before.first, late);
  BOOST_TEST(fixture.exchanger.IsStale());
  fixture.Run(100ms);
  fixture.Reply("peer-1", true);
  BOOST_TEST(fixture.exchanger.IsStale());
  fixture.Run(2s);
  fixture.Reply("peer-2", false);
  BOOST_TEST(!fixture.exchanger.IsStale());
}

// Guards against a daemon that remains stale although it has read the store.
BOOST_AUTO_TEST_CASE(StoreReadEndsStaleness)
{
  Fixture fixture(10);
  fixture.Run(1s);
  fixture.current += 30s;
  fixture.exchanger.CheckPause();
  BOOST_TEST(fixture.exchanger.IsStale());
  fixture.exchanger.OnStoreRead();
  BOOST_TEST(!fixture.exchanger.IsStale());
}

// Guards against large records that exceed the byte budget of the fleet.
BOOST_AUTO_TEST_CASE(PacedRecordsKeepTheByteBudget)
{
  Fixture fixture(99);
  std::uint32_t lastVersion = fixture.state.FindOrigin("self")->version;
  const std::uint32_t firstVersion = lastVersion;
  std::string value(2000, 'v');
  for (int second = 0; second < 3600; ++second) {
    value[0] = static_cast<char>('a' + second % 26);
    fixture.exchanger.PublishPaced("evidence", value);
    fixture.Run(1s);
    lastVersion = fixture.state.FindOrigin("self")->version;
  }
  // 100 hosts x 2,044 bytes at 400 bytes a second: one write per 511 s.
  const auto interval = fixture.exchanger.PacedInterval();
  BOOST_TEST((interval > 500s && interval < 520s));
  BOOST_TEST(lastVersion - firstVersion >= 4U);
  BOOST_TEST(lastVersion - firstVersion <= 3600U / 383U + 1U);
  fixture.exchanger.WithdrawPaced("evidence");
  BOOST_TEST(fixture.state.FindRecord("self", "evidence") == nullptr);
}

// Guards against urgent records that wait for the next exchange.
BOOST_AUTO_TEST_CASE(UrgentRecordIsPushedAtOnceToSeveralPeers)
{
  Fixture fixture(10);
  fixture.exchanger.PublishUrgent("verdict", "taken back");
  std::set<std::string> targets;
  for (const auto& [name, message] : fixture.sent) {
    BOOST_TEST((std::get<Delta>(message).kind == DeltaKind::Push));
    targets.insert(name);
  }
  BOOST_TEST(targets.size() == 3U);
}

// Guards against a push that is forwarded endlessly.
BOOST_AUTO_TEST_CASE(KnownPushIsNotForwardedAgain)
{
  Fixture fixture(10);
  GossipState other({ "peer-3", 3 }, 100, fixture.now);
  other.SetRecord("verdict", "taken back");
  const Delta push = other.MakePush("peer-3", "verdict");
  fixture.exchanger.Receive("peer-3", push);
  BOOST_TEST(fixture.sent.size() == 3U);
  fixture.exchanger.Receive("peer-4", push);
  BOOST_TEST(fixture.sent.size() == 3U);
}

// Guards against a frequently changing record whose pushes use up the byte
// budget.
BOOST_AUTO_TEST_CASE(FrequentUrgentRecordIsPushedOncePerRound)
{
  Fixture fixture(10);
  for (int change = 0; change < 100; ++change) {
    fixture.exchanger.PublishUrgent("health", std::to_string(change));
    fixture.Run(100ms);
  }
  std::size_t pushes = 0;
  std::string last;
  for (const auto& [name, message] : fixture.sent) {
    if (const auto* delta = std::get_if<Delta>(&message)) {
      ++pushes;
      last = delta->origins[0].records[0].value;
    }
  }
  // At most one round of three pushes per 300 ms: rounds are 250 ms apart, and
  // ticks 100 ms.
  BOOST_TEST(pushes <= 3U * 35U);
  fixture.sent.clear();
  fixture.Run(1s);
  for (const auto& [name, message] : fixture.sent) {
    if (const auto* delta = std::get_if<Delta>(&message)) {
      last = delta->origins[0].records[0].value;
    }
  }
  BOOST_TEST(last == "99");
}

// Guards against push rounds with a record that all peers already have.
BOOST_AUTO_TEST_CASE(DuplicatePushesEndThePushRounds)
{
  Fixture fixture(10);
  GossipState other({ "peer-3", 3 }, 100, fixture.now);
  other.SetRecord("verdict", "taken back");
  const Delta push = other.MakePush("peer-3", "verdict");
  for (const char* sender : { "peer-3", "peer-4", "peer-5" }) {
    fixture.exchanger.Receive(sender, push);
  }
  fixture.sent.clear();
  fixture.Run(2s);
  for (const auto& [name, message] : fixture.sent) {
    BOOST_TEST(std::holds_alternative<Digest>(message));
  }
}

// Guards against the bytes of a fleet of hundreds of hosts in which most
// exchanges leave the failure domain, and against far peers that are never
// selected.
BOOST_AUTO_TEST_CASE(MostExchangesAreWithNearPeers)
{
  constexpr std::size_t kPeers = 40;
  Fixture fixture(kPeers);
  const auto isNear = [](std::string_view aName) {
    return std::stoul(std::string(aName.substr(5))) % 4 == 0;
  };
  fixture.exchanger.SetNearness(isNear);
  fixture.Run(400s);
  std::set<std::string> selected;
  std::size_t farCount = 0;
  std::size_t count = 0;
  for (const auto& [name, message] : fixture.sent) {
    if (std::holds_alternative<Digest>(message)) {
      ++count;
      farCount += isNear(name) ? 0 : 1;
      selected.insert(name);
    }
  }
  BOOST_TEST(farCount > 0U);
  BOOST_TEST(farCount * 3 <= count);
  BOOST_TEST(selected.size() > kPeers * 3 / 4);
}
