#include "gossip/Membership.h"

#include "gossip/GossipState.h"

#include <boost/test/unit_test.hpp>

using namespace fireflytrail;
using namespace fireflytrail::gossip;
using namespace std::chrono_literals;

namespace {

struct Fixture
{
  Fixture()
    : now([this] { return this->current; })
    , state({ "a", 1 }, 100, this->now)
    , membership(this->state, this->now)
  {
  }

  /** Applies the heartbeat and the records of another daemon. */
  void ReceiveFrom(const GossipState& aOther)
  {
    GossipState copy = aOther;
    this->state.Apply(copy.ReplyToDigest(this->state.MakeDigest(1), 1'000'000));
  }

  MemberState StateOf(std::string_view aName) const
  {
    return this->membership.StateOf(aName).value();
  }

  core::TimePoint current{ 1h };
  core::NowFunction now;
  GossipState state;
  Membership membership;
};

} // namespace

// Guards against a silent host that remains alive, and against one that becomes
// dead without being suspect first.
BOOST_AUTO_TEST_CASE(SilentHostIsSuspectThenDead)
{
  Fixture fixture;
  GossipState other({ "b", 2 }, 100, fixture.now);
  fixture.ReceiveFrom(other);
  BOOST_TEST((fixture.StateOf("b") == MemberState::Alive));
  fixture.current += 10s;
  BOOST_TEST((fixture.StateOf("b") == MemberState::Suspect));
  fixture.current += 20s;
  BOOST_TEST((fixture.StateOf("b") == MemberState::Dead));
  other.IncrementHeartbeat();
  fixture.ReceiveFrom(other);
  BOOST_TEST((fixture.StateOf("b") == MemberState::Alive));
}

// Guards against an outdated host list that overrides a heartbeat.
BOOST_AUTO_TEST_CASE(HostListDoesNotOverrideHeartbeats)
{
  Fixture fixture;
  const GossipState other({ "b", 2 }, 100, fixture.now);
  fixture.ReceiveFrom(other);
  fixture.membership.SetHostList({ { "c", "10.0.0.3:7000", false } });
  BOOST_TEST((fixture.StateOf("b") == MemberState::Alive));
  BOOST_TEST((fixture.StateOf("c") == MemberState::Suspect));
  BOOST_TEST(!fixture.membership.StateOf("d").has_value());
  BOOST_TEST(fixture.membership.ConservativeHostCount() == 3U);
}

// Guards against budgets divided by too few hosts while a host is silent and
// not listed, and against counting such a host forever.
BOOST_AUTO_TEST_CASE(SilentUnlistedHostCountsForTenMinutes)
{
  Fixture fixture;
  const GossipState other({ "b", 2 }, 100, fixture.now);
  fixture.ReceiveFrom(other);
  fixture.current += 9min;
  fixture.membership.RemoveDead();
  BOOST_TEST(fixture.membership.ConservativeHostCount() == 2U);
  fixture.current += 2min;
  fixture.membership.RemoveDead();
  BOOST_TEST(fixture.membership.ConservativeHostCount() == 1U);
}

// Guards against a planned stop after which the host is still counted, and
// reduces the budgets of the others, for ten minutes.
BOOST_AUTO_TEST_CASE(HostThatAnnouncedItsStopIsRemovedWhenSilent)
{
  Fixture fixture;
  GossipState other({ "b", 2 }, 100, fixture.now);
  other.SetRecord(Membership::kLeavingKey, "1");
  fixture.ReceiveFrom(other);
  BOOST_TEST((fixture.StateOf("b") == MemberState::Leaving));
  BOOST_TEST(fixture.membership.ConservativeHostCount() == 2U);
  fixture.current += 30s;
  fixture.membership.RemoveDead();
  BOOST_TEST(fixture.membership.ConservativeHostCount() == 1U);
}

// Guards against a daemon that uses the fleet's whole budgets after its start
// as if it were the only one: the origins of the first digest count before
// their records arrive.
BOOST_AUTO_TEST_CASE(UnresolvedOriginsCount)
{
  Fixture fixture;
  Digest digest;
  for (std::uint64_t start = 10; start < 20; ++start) {
    digest.entries.push_back({ start, 1, 1 });
  }
  fixture.state.ReplyToDigest(digest, 0);
  BOOST_TEST(fixture.membership.ConservativeHostCount() == 11U);
}

// Guards against a resumed daemon that considers all other hosts dead.
BOOST_AUTO_TEST_CASE(OwnPauseDoesNotAgeOthers)
{
  Fixture fixture;
  const GossipState other({ "b", 2 }, 100, fixture.now);
  fixture.ReceiveFrom(other);
  fixture.current += 60s;
  fixture.membership.ResetHeartbeatAges();
  BOOST_TEST((fixture.StateOf("b") == MemberState::Alive));
  fixture.current += 10s;
  BOOST_TEST((fixture.StateOf("b") == MemberState::Suspect));
}

// Guards against messages to an address that a daemon no longer uses.
BOOST_AUTO_TEST_CASE(OwnAddressRecordOverridesTheList)
{
  Fixture fixture;
  GossipState other({ "b", 2 }, 100, fixture.now);
  other.SetRecord(Membership::kAddressKey, "10.0.0.9:7000");
  fixture.membership.SetHostList({ { "b", "10.0.0.2:7000", false } });
  BOOST_TEST(fixture.membership.PeerOf("b")->address == "10.0.0.2:7000");
  fixture.ReceiveFrom(other);
  BOOST_TEST(fixture.membership.PeerOf("b")->address == "10.0.0.9:7000");
}
