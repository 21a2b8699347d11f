#include "routing/ServiceDirectory.h"

#include <boost/test/unit_test.hpp>

using namespace fireflytrail;
using namespace fireflytrail::routing;
using namespace std::chrono_literals;

namespace {

struct Fixture
{
  core::TimePoint time{ 1h };
  ServiceDirectory directory{ [this] { return this->time; } };

  BackendInstance Instance(const std::string& aId,
                           const std::string& aVersion = "v1") const
  {
    BackendInstance instance;
    instance.id = aId;
    instance.service = "s";
    instance.version = aVersion;
    instance.address = "127.0.0.1:1";
    instance.failureDomain = "a";
    instance.slots = 4;
    return instance;
  }

  std::size_t UsableCount() const
  {
    std::size_t count = 0;
    for (const DispatchTarget& target : this->directory.TargetsOf("s")) {
      count += target.isUsable && !target.isOnTrial ? 1 : 0;
    }
    return count;
  }
};

} // namespace

// Guards against losing all servers at once when their entries have expired
// while the store was unavailable.
BOOST_FIXTURE_TEST_CASE(KeepsEntriesThatExpiredDuringAStoreOutage, Fixture)
{
  this->directory.Put(this->Instance("x"));
  this->directory.Put(this->Instance("y"));
  this->directory.OnStoreRegained(5s);
  this->time += 100ms;
  this->directory.Remove("x");
  this->directory.Remove("y");
  BOOST_TEST(this->UsableCount() == 2U);
  this->directory.Put(this->Instance("x"));
  this->time = *this->directory.NextDue();
  BOOST_TEST(this->directory.RemoveExpiredInstances());
  BOOST_TEST(this->UsableCount() == 1U);
  BOOST_TEST(!this->directory.NextDue().has_value());
}

// Guards against requests to a server whose entry was removed while the store
// was available: the server is leaving.
BOOST_FIXTURE_TEST_CASE(RemovesEntriesAtOnceWithoutAStoreOutage, Fixture)
{
  this->directory.Put(this->Instance("x"));
  this->directory.OnStoreRegained(5s);
  this->time += ServiceDirectory::kExpiryGracePeriod;
  this->directory.Remove("x");
  BOOST_TEST(this->UsableCount() == 0U);
}

// Guards against requests to a leaving server whose entry was removed after an
// interruption that was too short for entries to expire.
BOOST_FIXTURE_TEST_CASE(RemovesEntriesAtOnceAfterAShortOutage, Fixture)
{
  this->directory.Put(this->Instance("x"));
  this->directory.OnStoreRegained(1s);
  this->directory.Remove("x");
  BOOST_TEST(this->UsableCount() == 0U);
}

// Guards against requests to a draining server or a failure domain that is out.
BOOST_FIXTURE_TEST_CASE(LeavesOutDrainingServersAndDomainsOut, Fixture)
{
  BackendInstance draining = this->Instance("x");
  draining.isDraining = true;
  this->directory.Put(draining);
  BOOST_TEST(this->UsableCount() == 0U);
  BOOST_TEST(!this->directory.IsUsable(draining));
  this->directory.Put(this->Instance("y"));
  BOOST_TEST(this->UsableCount() == 1U);
  this->directory.SetDomainsOut({ "a" });
  BOOST_TEST(this->UsableCount() == 0U);
  BOOST_TEST(!this->directory.IsUsable(this->Instance("y")));
}

// Guards against a grant for a server whose address now belongs to another
// server.
BOOST_FIXTURE_TEST_CASE(AnInstanceAtAnotherAddressIsNotUsable, Fixture)
{
  this->directory.Put(this->Instance("x"));
  BackendInstance old = this->Instance("x");
  old.address = "127.0.0.1:2";
  BOOST_TEST(!this->directory.IsUsable(old));
}

// Guards against a grant that names a server of another service.
BOOST_FIXTURE_TEST_CASE(AnInstanceOfAnotherServiceIsNotUsable, Fixture)
{
  this->directory.Put(this->Instance("x"));
  BackendInstance other = this->Instance("x");
  other.service = "t";
  BOOST_TEST(!this->directory.IsUsable(other));
}

// Guards against regular traffic for a version before its verdict, and for the
// old version after the rollout is completed.
BOOST_FIXTURE_TEST_CASE(RolloutStateDecidesWhichVersionsAreUsed, Fixture)
{
  this->directory.Put(this->Instance("old", "v1"));
  this->directory.Put(this->Instance("new", "v2"));
  RolloutOrder order{ .service = "s", .targetVersion = "v2", .duration = 12s };
  this->directory.PutRollout(order);
  BOOST_TEST(this->UsableCount() == 1U);
  BOOST_TEST(this->directory.IsUsable(this->Instance("new", "v2")));
  order.state = RolloutState::RolledBack;
  this->directory.PutRollout(order);
  BOOST_TEST(!this->directory.IsUsable(this->Instance("new", "v2")));
  // A late message must not undo the verdict.
  order.state = RolloutState::Running;
  this->directory.PutRollout(order);
  BOOST_TEST(!this->directory.IsUsable(this->Instance("new", "v2")));
  order.state = RolloutState::Completed;
  this->directory.PutRollout(order);
  BOOST_TEST(this->directory.IsUsable(this->Instance("new", "v2")));
  BOOST_TEST(!this->directory.IsUsable(this->Instance("old", "v1")));
}

// Guards against a verdict that is never written, because the stored status of
// the running order is taken for that of the verdict.
BOOST_FIXTURE_TEST_CASE(UnwrittenVerdictHasNoStoredStatus, Fixture)
{
  RolloutOrder order{ .service = "s", .targetVersion = "v2", .duration = 12s };
  order.hasStoredStatus = true;
  this->directory.PutRollout(order);
  RolloutOrder verdict = order;
  verdict.state = RolloutState::RolledBack;
  verdict.hasStoredStatus = false;
  this->directory.PutRollout(verdict);
  order.revision = 9;
  this->directory.PutRollout(order);
  const RolloutOrder& known = this->directory.Rollouts().at("s");
  BOOST_TEST((known.state == RolloutState::RolledBack));
  BOOST_TEST(!known.hasStoredStatus);
}

// Guards against two verdicts in force: the store has that of another daemon,
// and this daemon's own arrives later.
BOOST_FIXTURE_TEST_CASE(StoredVerdictStands, Fixture)
{
  RolloutOrder order{ .service = "s", .targetVersion = "v2", .duration = 12s };
  this->directory.PutRollout(order);
  order.state = RolloutState::Completed;
  order.hasStoredStatus = true;
  this->directory.PutRollout(order);
  order.state = RolloutState::RolledBack;
  order.hasStoredStatus = false;
  this->directory.PutRollout(order);
  BOOST_TEST(
    (this->directory.Rollouts().at("s").state == RolloutState::Completed));
}

// Guards against the loss of servers that joined after the copy from which the
// store came back: they run, and write their entries again.
BOOST_FIXTURE_TEST_CASE(KeepsServersThatAnOlderCopyLacks, Fixture)
{
  this->directory.Put(this->Instance("joined"));
  this->directory.Put(this->Instance("lost"));
  this->directory.OnOlderCopy();
  this->directory.Remove("joined");
  this->directory.Remove("lost");
  BOOST_TEST(this->UsableCount() == 2U);
  this->directory.Put(this->Instance("joined"));
  this->time = *this->directory.NextDue();
  BOOST_TEST(this->directory.RemoveExpiredInstances());
  BOOST_TEST(this->UsableCount() == 1U);
}

// Guards against requests to servers that left after the copy from which the
// store came back (DRAIN): the copy shows them in use.
BOOST_FIXTURE_TEST_CASE(ServersThatLeftAreNotUsedByAnOlderCopy, Fixture)
{
  BackendInstance draining = this->Instance("draining");
  draining.isDraining = true;
  this->directory.Put(draining);
  this->directory.Put(this->Instance("gone"));
  this->directory.Remove("gone");
  this->directory.OnOlderCopy();
  this->directory.PutFromOlderCopy(this->Instance("draining"));
  this->directory.PutFromOlderCopy(this->Instance("gone"));
  this->directory.PutFromOlderCopy(this->Instance("other"));
  BOOST_TEST(this->UsableCount() == 1U);
  BOOST_TEST(!this->directory.IsUsable(this->Instance("gone")));
  // Another return of the store does not show more.
  this->directory.PutFromOlderCopy(this->Instance("gone"));
  BOOST_TEST(this->UsableCount() == 1U);
  // What the server says itself counts at once.
  this->directory.Put(this->Instance("draining"));
  BOOST_TEST(this->UsableCount() == 2U);
  // The store removes the entry of a silent server before that.
  const auto due = this->directory.NextDue();
  BOOST_REQUIRE(due.has_value());
  BOOST_TEST((*due - this->time >= 3 * 1500ms));
  this->time = *due;
  this->directory.RemoveExpiredInstances();
  BOOST_TEST(this->UsableCount() == 3U);
}

// Guards against a server that is not used although it has started again under
// its id, and against a memory of departures without end.
BOOST_FIXTURE_TEST_CASE(AnOlderCopyShowsARestartedServerInUse, Fixture)
{
  BackendInstance first = this->Instance("x");
  first.startedAt = 1;
  this->directory.Put(first);
  this->directory.Remove("x");
  BackendInstance second = first;
  second.startedAt = 2;
  this->directory.PutFromOlderCopy(second);
  BOOST_TEST(this->UsableCount() == 1U);
  this->directory.Remove("x");
  this->time += ServiceDirectory::kDepartureMemory + 1s;
  this->directory.PutFromOlderCopy(second);
  BOOST_TEST(this->UsableCount() == 1U);
}

// Guards against a second trial of a version after its verdict was lost in the
// store (EXPOSURE), also if the order was written again.
BOOST_FIXTURE_TEST_CASE(VerdictStaysInForceWhenTheStoreLosesIt, Fixture)
{
  this->directory.Put(this->Instance("new", "v2"));
  RolloutOrder order{ .service = "s", .targetVersion = "v2", .duration = 12s };
  order.createdRevision = 7;
  this->directory.PutRollout(order);
  RolloutOrder verdict = order;
  verdict.state = RolloutState::RolledBack;
  verdict.hasStoredStatus = true;
  this->directory.PutRollout(verdict);
  this->time += 5s;
  // The copy has the order without the verdict; then the operator writes it
  // again.
  for (const std::uint64_t created : { 7U, 5U }) {
    order.createdRevision = created;
    this->directory.PutRolloutAgain(order);
    const RolloutOrder& known = this->directory.Rollouts().at("s");
    BOOST_TEST((known.state == RolloutState::RolledBack));
    BOOST_TEST(known.isVerdictLost);
    BOOST_TEST(known.createdRevision == 7U);
    BOOST_TEST((known.firstSeenAt == core::TimePoint{ 1h }));
    BOOST_TEST(!this->directory.IsUsable(this->Instance("new", "v2")));
  }
  verdict.createdRevision = 5;
  this->directory.PutRollout(verdict);
  BOOST_TEST(!this->directory.Rollouts().at("s").isVerdictLost);
  BOOST_TEST(this->directory.Rollouts().at("s").hasStoredStatus);
  // A later order for the same version is another one.
  order.createdRevision = 20;
  this->directory.PutRollout(order);
  BOOST_TEST(
    (this->directory.Rollouts().at("s").state == RolloutState::Running));
}
