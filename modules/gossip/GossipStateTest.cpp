#include "gossip/GossipState.h"

#include <boost/test/unit_test.hpp>

using namespace fireflytrail;
using namespace fireflytrail::gossip;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kNoLimit = std::size_t{ 1024 } * 1024;

struct Clock
{
  core::NowFunction Function()
  {
    return [this] { return this->now; };
  }

  core::TimePoint now{ 1h };
};

/** Runs one complete exchange, as `GossipExchanger` does. */
void
Exchange(GossipState& aFirst,
         GossipState& aSecond,
         std::size_t aByteLimit = kNoLimit)
{
  const Delta reply = aSecond.ReplyToDigest(aFirst.MakeDigest(1), aByteLimit);
  aFirst.Apply(reply);
  aSecond.Apply(aFirst.MakeFinal(reply, aByteLimit));
}

} // namespace

// Guards against records that reach only one side of an exchange.
BOOST_AUTO_TEST_CASE(ExchangeBringsBothSidesToTheSameRecords)
{
  Clock clock;
  GossipState first({ "a", 1 }, 100, clock.Function());
  GossipState second({ "b", 2 }, 100, clock.Function());
  first.SetRecord("x", "1");
  second.SetRecord("y", "2");
  Exchange(first, second);
  BOOST_REQUIRE(second.FindRecord("a", "x") != nullptr);
  BOOST_REQUIRE(first.FindRecord("b", "y") != nullptr);
  BOOST_TEST(second.FindRecord("a", "x")->value == "1");
  // Nothing is sent twice.
  const Delta reply = second.ReplyToDigest(first.MakeDigest(2), kNoLimit);
  BOOST_TEST(reply.origins.empty());
  BOOST_TEST(reply.wanted.empty());
}

// Guards against a removed record that other daemons keep, or that a lagging
// daemon reintroduces.
BOOST_AUTO_TEST_CASE(RemovalReplicatesAndIsNotReverted)
{
  Clock clock;
  GossipState first({ "a", 1 }, 100, clock.Function());
  GossipState second({ "b", 2 }, 100, clock.Function());
  GossipState lagging({ "c", 3 }, 100, clock.Function());
  first.SetRecord("x", "1");
  Exchange(first, lagging);
  first.RemoveRecord("x");
  Exchange(first, second);
  BOOST_TEST(second.FindRecord("a", "x") == nullptr);
  Exchange(lagging, second);
  BOOST_TEST(second.FindRecord("a", "x") == nullptr);
  BOOST_TEST(lagging.FindRecord("a", "x") == nullptr);
}

// Guards against records that are lost when the byte limit truncates a delta.
BOOST_AUTO_TEST_CASE(ByteLimitDelaysButNeverDropsRecords)
{
  Clock clock;
  GossipState first({ "a", 1 }, 100, clock.Function());
  GossipState second({ "b", 2 }, 100, clock.Function());
  for (int index = 0; index < 40; ++index) {
    first.SetRecord("key-" + std::to_string(index), std::string(100, 'v'));
  }
  // Rewriting a record moves it to the end of the version order.
  first.SetRecord("key-3", "new");
  int exchanges = 0;
  while (second.FindRecord("a", "key-3") == nullptr && exchanges < 50) {
    Exchange(first, second, 500);
    ++exchanges;
  }
  BOOST_TEST(exchanges > 5);
  for (int index = 0; index < 40; ++index) {
    BOOST_TEST(second.FindRecord("a", "key-" + std::to_string(index)) !=
               nullptr);
  }
}

// Guards against a record that is never sent because it exceeds the byte limit.
BOOST_AUTO_TEST_CASE(RecordAboveTheByteLimitIsSentAlone)
{
  Clock clock;
  GossipState first({ "a", 1 }, 100, clock.Function());
  GossipState second({ "b", 2 }, 100, clock.Function());
  first.SetRecord("small", "1");
  first.SetRecord("large", std::string(5000, 'v'));
  for (int index = 0; index < 3; ++index) {
    Exchange(first, second, 500);
  }
  BOOST_TEST(second.FindRecord("a", "large") != nullptr);
}

// Guards against older records that are never requested because a newer record
// was pushed before they arrived.
BOOST_AUTO_TEST_CASE(PushAboveMissingRecordsDoesNotHideThem)
{
  Clock clock;
  GossipState first({ "a", 1 }, 100, clock.Function());
  GossipState second({ "b", 2 }, 100, clock.Function());
  first.SetRecord("older", "1");
  first.SetRecord("urgent", "2");
  const auto changed = second.Apply(first.MakePush("a", "urgent"));
  BOOST_TEST(changed.size() == 1U);
  BOOST_TEST(second.FindRecord("a", "urgent") != nullptr);
  BOOST_TEST(second.FindRecord("a", "older") == nullptr);
  // A daemon that forwards a pushed record without having the older ones must
  // not make the receiver assume that it is complete.
  GossipState third({ "c", 3 }, 100, clock.Function());
  third.Apply(second.MakePush("a", "urgent"));
  Exchange(first, third);
  Exchange(first, second);
  BOOST_TEST(second.FindRecord("a", "older") != nullptr);
  BOOST_TEST(third.FindRecord("a", "older") != nullptr);
  BOOST_TEST(second.Apply(first.MakePush("a", "urgent")).empty());
}

// Guards against an older value that overwrites a newer one.
BOOST_AUTO_TEST_CASE(DelayedDeltaDoesNotOverwriteANewerRecord)
{
  Clock clock;
  GossipState first({ "a", 1 }, 100, clock.Function());
  GossipState second({ "b", 2 }, 100, clock.Function());
  first.SetRecord("x", "old");
  const Delta delayed = first.MakePush("a", "x");
  first.SetRecord("x", "new");
  Exchange(first, second);
  second.Apply(delayed);
  BOOST_TEST(second.FindRecord("a", "x")->value == "new");
}

// Guards against records that another daemon forges in the name of this one.
BOOST_AUTO_TEST_CASE(OnlyTheOriginWritesItsRecords)
{
  Clock clock;
  GossipState first({ "a", 1 }, 100, clock.Function());
  first.SetRecord("x", "mine");
  Delta forged;
  OriginDelta origin;
  origin.id = { "a", 1 };
  origin.incarnation = 100;
  origin.heartbeat = 99;
  origin.upTo = 50;
  origin.records.push_back({ "x", "theirs", 50, false });
  forged.origins.push_back(origin);
  first.Apply(forged);
  forged.origins[0].id.name.clear();
  first.Apply(forged);
  forged.heartbeats.push_back({ 1, 1000 });
  first.Apply(forged);
  BOOST_TEST(first.FindRecord("a", "x")->value == "mine");
  BOOST_TEST(first.FindOrigin("a")->heartbeat == 1U);
}

// Guards against an earlier process that a lagging daemon reintroduces after
// the process that replaced it was removed.
BOOST_AUTO_TEST_CASE(RemovedOriginReturnsOnlyWithHigherHeartbeat)
{
  Clock clock;
  GossipState own({ "a", 1 }, 100, clock.Function());
  GossipState lagging({ "b", 2 }, 100, clock.Function());
  GossipState oldStart({ "c", 3 }, 100, clock.Function());
  GossipState newStart({ "c", 4 }, 200, clock.Function());
  Exchange(oldStart, lagging);
  Exchange(newStart, own);
  own.RemoveOrigin("c");
  Exchange(lagging, own);
  BOOST_TEST(own.FindOrigin("c") == nullptr);
  // A higher heartbeat of the same process shows that it was only partitioned.
  newStart.IncrementHeartbeat();
  Exchange(newStart, own);
  BOOST_REQUIRE(own.FindOrigin("c") != nullptr);
  BOOST_TEST(own.FindOrigin("c")->id.start == 4U);
  Exchange(lagging, own);
  BOOST_TEST(own.FindOrigin("c")->id.start == 4U);
  BOOST_TEST(lagging.FindOrigin("c")->id.start == 4U);
}

// Guards against a replaced process that continues under the same name as its
// replacement.
BOOST_AUTO_TEST_CASE(ReplacedProcessIsSuperseded)
{
  Clock clock;
  GossipState oldStart({ "c", 3 }, 100, clock.Function());
  clock.now += 60s;
  GossipState newStart({ "c", 4 }, 200, clock.Function());
  GossipState peer({ "a", 1 }, 100, clock.Function());
  Exchange(newStart, peer);
  Exchange(oldStart, peer);
  BOOST_TEST(oldStart.IsSuperseded());
  BOOST_TEST(!newStart.IsSuperseded());
  BOOST_TEST(peer.FindOrigin("c")->id.start == 4U);
}

// Guards against unbounded memory use when a key is created for each event.
BOOST_AUTO_TEST_CASE(RefusesTooManyOrTooLargeRecords)
{
  Clock clock;
  GossipState own({ "a", 1 }, 100, clock.Function());
  for (std::size_t index = 0; index < GossipState::kMaxRecordsPerOrigin;
       ++index) {
    BOOST_TEST(own.SetRecord("key-" + std::to_string(index), "v"));
  }
  BOOST_TEST(!own.SetRecord("one-more", "v"));
  BOOST_TEST(own.SetRecord("key-0", "again"));
  BOOST_TEST(
    !own.SetRecord("key-0", std::string(GossipState::kMaxValueSize + 1, 'v')));
}

// Guards against hosts of a large fleet that learn of the few hosts that work
// for all others only after many messages.
BOOST_AUTO_TEST_CASE(PreferredOriginsAreSentFirst)
{
  constexpr std::size_t kOrigins = 200;
  core::TimePoint time{ 1h };
  const core::NowFunction now = [&time] { return time; };
  GossipState sender({ "sender", 1 }, 100, now);
  sender.SetPreference([](const Origin& aOrigin) {
    const auto record = aOrigin.records.find("host");
    return record != aOrigin.records.end() && record->second.value == "strong";
  });
  for (std::size_t index = 0; index < kOrigins; ++index) {
    const std::string name = "peer-" + std::to_string(index);
    GossipState peer({ name, 1000 + index }, 100, now);
    peer.SetRecord("host", index % 20 == 7 ? "strong" : "weak");
    sender.Apply(peer.MakePush(name, "host"));
  }
  GossipState receiver({ "receiver", 2 }, 100, now);
  const Delta reply = sender.ReplyToDigest(receiver.MakeDigest(1), 4096);
  BOOST_REQUIRE(reply.origins.size() < kOrigins / 2);
  std::size_t strong = 0;
  for (const OriginDelta& origin : reply.origins) {
    for (const Record& record : origin.records) {
      strong += record.value == "strong" ? 1 : 0;
    }
  }
  BOOST_TEST(strong == kOrigins / 20);
}
