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
