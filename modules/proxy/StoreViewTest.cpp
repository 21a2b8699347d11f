#include "proxy/StoreView.h"

#include "store/StoreRevision.h"

#include <boost/json/value.hpp>
#include <boost/test/unit_test.hpp>

using namespace fireflytrail;
using namespace fireflytrail::proxy;
using namespace std::chrono_literals;
using routing::RolloutState;
using store::ObjectRecord;

namespace {

/** A daemon's view of objects whose content is the target version of an order,
 * with a plus sign if the store has the verdict "completed". */
struct Fixture
{
  core::TimePoint time{ 1h };
  core::Log log{ core::LogLevel::Error, [](std::string_view) {} };
  PlatformAdapter platform{ MakePlatform() };
  StoreView view{ this->platform, this->log, [this] { return this->time; },
                  1500ms,         false,     1 };

  static PlatformAdapter MakePlatform()
  {
    PlatformAdapter adapter;
    adapter.kinds = { "servers", "config", "main", "rollouts", "domains" };
    adapter.readRollout =
      [](const ObjectRecord& aObject) -> core::Result<routing::RolloutOrder> {
      const std::string text(aObject.content.as_string());
      routing::RolloutOrder order;
      order.service = aObject.name;
      order.targetVersion = text.substr(0, 2);
      order.revision = aObject.revision;
      order.createdRevision = aObject.revision;
      order.hasStoredStatus = text.ends_with('+');
      order.state =
        order.hasStoredStatus ? RolloutState::Completed : RolloutState::Running;
      return order;
    };
    return adapter;
  }

  static ObjectRecord Object(const std::string& aKind,
                             const std::string& aName,
                             std::uint64_t aRevision,
                             const std::string& aContent = "")
  {
    return {
      aKind, aName, aRevision, aContent.empty(), boost::json::value(aContent)
    };
  }

  /** Applies one object that the store shows after its return. */
  void ApplyOlderCopy(const ObjectRecord& aObject)
  {
    this->view.OnOlderCopy(aObject.kind);
    this->view.Apply(aObject.kind, { aObject });
  }

  bool IsOut(const std::string& aDomain)
  {
    return this->view.Directory().DomainsOut().contains(aDomain);
  }

  /** Returns the target version of the known order; empty if there is none. */
  std::string Target()
  {
    const auto& rollouts = this->view.Directory().Rollouts();
    const auto found = rollouts.find("s");
    return found == rollouts.end() ? "" : found->second.targetVersion;
  }

  void WaitUntilDue()
  {
    const auto due = this->view.NextDue();
    BOOST_REQUIRE(due.has_value());
    this->time = *due;
    this->view.ApplyDue();
  }
};

} // namespace

// Guards against requests to a failure domain that is out (EVAC): the copy from
// which the store came back lacks the order, which is then written again.
BOOST_FIXTURE_TEST_CASE(ADomainStaysOutUntilItsOrderIsWrittenAgain, Fixture)
{
  this->view.Apply("domains", { Object("domains", "a", 20, "x") });
  this->ApplyOlderCopy(Object("domains", "a", store::JoinRevision(2, 8)));
  BOOST_TEST(this->IsOut("a"));
  this->time += 5s;
  this->view.Apply("domains",
                   { Object("domains", "a", store::JoinRevision(2, 9), "x") });
  BOOST_TEST(!this->view.NextDue().has_value());
  BOOST_TEST(this->IsOut("a"));
  this->view.Apply("domains",
                   { Object("domains", "a", store::JoinRevision(2, 10)) });
  BOOST_TEST(!this->IsOut("a"));
}

// Guards against a failure domain that stays out for good, or comes back out of
// use, because of what a copy shows.
BOOST_FIXTURE_TEST_CASE(WhatNobodyWritesAgainIsTakenFromTheCopy, Fixture)
{
  this->view.Apply("domains",
                   { Object("domains", "a", 20, "x"),
                     Object("domains", "b", 21, "x"),
                     Object("domains", "b", 22) });
  this->view.OnOlderCopy("domains");
  this->view.Apply("domains",
                   { Object("domains", "a", store::JoinRevision(2, 8)),
                     Object("domains", "b", store::JoinRevision(2, 7), "x") });
  BOOST_TEST(this->IsOut("a"));
  BOOST_TEST(!this->IsOut("b"));
  this->WaitUntilDue();
  BOOST_TEST(!this->IsOut("a"));
  BOOST_TEST(this->IsOut("b"));
  BOOST_TEST(!this->view.NextDue().has_value());
}

// Guards against a rollout that begins again, or whose version gets all
// requests, because the copy lacks the order or has the one before it.
BOOST_FIXTURE_TEST_CASE(ARolloutOutlivesTheReturnOfAnOlderCopy, Fixture)
{
  this->view.Apply("rollouts", { Object("rollouts", "s", 20, "v3+") });
  this->ApplyOlderCopy(
    Object("rollouts", "s", store::JoinRevision(2, 8), "v2+"));
  BOOST_TEST(this->Target() == "v3");
  // The store comes back a second time, now without any order.
  this->ApplyOlderCopy(Object("rollouts", "s", store::JoinRevision(3, 8)));
  BOOST_TEST(this->Target() == "v3");
  this->time += 1s;
  this->view.Apply(
    "rollouts", { Object("rollouts", "s", store::JoinRevision(3, 9), "v3") });
  BOOST_TEST(!this->view.NextDue().has_value());
  const auto& order = this->view.Directory().Rollouts().at("s");
  BOOST_TEST((order.state == RolloutState::Completed));
  BOOST_TEST(order.isVerdictLost);
}

// Guards against an order that was withdrawn for good and stays in force.
BOOST_FIXTURE_TEST_CASE(AMissingRolloutEndsAfterTheWait, Fixture)
{
  this->view.Apply("rollouts", { Object("rollouts", "s", 20, "v3") });
  this->ApplyOlderCopy(Object("rollouts", "s", store::JoinRevision(2, 8)));
  BOOST_TEST(this->Target() == "v3");
  this->WaitUntilDue();
  BOOST_TEST(this->Target().empty());
}
