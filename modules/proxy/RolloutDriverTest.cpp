#include "proxy/RolloutDriver.h"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <random>
#include <vector>

using namespace fireflytrail;
using namespace fireflytrail::proxy;
using namespace std::chrono_literals;
using routing::AttemptOutcome;
using routing::RolloutOrder;
using routing::RolloutState;

namespace {

/** A daemon with one service, and a store whose answers the test provides. */
struct Fixture
{
  core::TimePoint time{ 1h };
  bool isDispatching = true;
  double share = -1;
  std::vector<
    std::pair<RolloutOrder, std::function<void(std::optional<unsigned>)>>>
    writes;
  std::vector<RolloutState> decided;
  std::mt19937_64 random{ 1 };
  double newFailureShare = 0;
  RolloutDriver::Orders orders;
  RolloutDriver driver{
    { .now = [this] { return this->time; },
      .isDispatching =
        [this](const std::string&) { return this->isDispatching; },
      .capacityOf =
        [this](const std::string&) {
          return moves::VersionTrial::Capacity{ 10,
                                                10,
                                                this->share >= 1 ? 0U : 5U };
        },
      .setShare = [this](const std::string&,
                         double aShare) { this->share = aShare; },
      .write =
        [this](const RolloutOrder& aOrder,
               std::function<void(std::optional<unsigned>)> aOnWritten) {
          this->writes.emplace_back(aOrder, std::move(aOnWritten));
        },
      .decided =
        [this](const RolloutOrder& aOrder, const std::string&) {
          this->decided.push_back(aOrder.state);
          this->orders.at("s").state = aOrder.state;
        },
      .written = [](const RolloutOrder&, std::optional<unsigned>) {} },
    0.1
  };

  Fixture()
  {
    RolloutOrder order{ .service = "s",
                        .targetVersion = "v2",
                        .duration = 15s };
    order.firstSeenAt = this->time;
    order.revision = 7;
    order.createdRevision = 7;
    this->orders["s"] = order;
  }

  /** Answers the oldest write and returns the order that was written. */
  RolloutOrder AnswerWrite(std::optional<unsigned> aStatus)
  {
    BOOST_REQUIRE(!this->writes.empty());
    const auto [order, onWritten] = this->writes.front();
    this->writes.erase(this->writes.begin());
    onWritten(aStatus);
    return order;
  }

  /**
   * Advances the time, with 30 requests that end in each quarter of a second.
   */
  void Run(core::TimePoint::duration aTime)
  {
    for (const core::TimePoint end = this->time + aTime; this->time < end;) {
      for (int index = 0; index < 30; ++index) {
        routing::BackendInstance instance;
        instance.service = "s";
        instance.id = std::to_string(index % 10);
        routing::EndedRequest ended;
        ended.isOnTrial =
          std::bernoulli_distribution(std::max(0.0, this->share))(this->random);
        const bool isFailed =
          ended.isOnTrial &&
          std::bernoulli_distribution(this->newFailureShare)(this->random);
        ended.instance =
          std::make_shared<const routing::BackendInstance>(instance);
        ended.outcome =
          isFailed ? AttemptOutcome::Failed : AttemptOutcome::Answered;
        ended.duration = 100ms;
        ended.typicalDuration = 100ms;
        this->driver.OnRequestEnded(ended);
      }
      this->time += RolloutDriver::kTickInterval;
      this->driver.Update(this->orders);
    }
  }
};

} // namespace

// Guards against a good version that is never completed, and against a rollout
// that counts as completed before the store has accepted it.
BOOST_FIXTURE_TEST_CASE(GoodVersionIsCompletedOnceTheStoreAccepts, Fixture)
{
  this->driver.Update(this->orders);
  BOOST_TEST((this->AnswerWrite(200).state == RolloutState::Running));
  this->Run(14s);
  BOOST_TEST(this->share == 1);
  BOOST_TEST(this->decided.empty());
  const RolloutOrder written = this->AnswerWrite(200);
  BOOST_TEST((written.state == RolloutState::Completed));
  BOOST_TEST(written.revision == 7U);
  BOOST_TEST(this->decided.size() == 1U);
  this->Run(2s);
  BOOST_TEST(this->writes.empty());
}

// Guards against requests to a bad version between the verdict and its write to
// the store, and against a verdict that is lost when the store's answer is
// lost.
BOOST_FIXTURE_TEST_CASE(BadVersionGetsNoMoreRequestsAtOnce, Fixture)
{
  this->newFailureShare = 0.5;
  this->driver.Update(this->orders);
  this->AnswerWrite(200);
  this->Run(5s);
  BOOST_REQUIRE(this->decided.size() == 1U);
  BOOST_TEST((this->decided.front() == RolloutState::RolledBack));
  BOOST_TEST(this->share == 0);
  // The first write gets no answer, the second meets a changed order, and the
  // third is accepted.
  this->AnswerWrite(std::nullopt);
  this->Run(1s);
  this->AnswerWrite(409);
  this->orders.at("s").revision = 9;
  this->Run(1s);
  const RolloutOrder written = this->AnswerWrite(200);
  BOOST_TEST((written.state == RolloutState::RolledBack));
  BOOST_TEST(written.revision == 9U);
  this->Run(2s);
  BOOST_TEST(this->writes.empty());
  BOOST_TEST(this->decided.size() == 1U);
}

// Guards against a daemon that runs a trial although another daemon dispatches
// the service, and against a trial that continues after another daemon has
// taken over.
BOOST_FIXTURE_TEST_CASE(OnlyTheDispatchingDaemonRunsATrial, Fixture)
{
  this->isDispatching = false;
  this->Run(1s);
  BOOST_TEST(this->writes.empty());
  BOOST_TEST(this->share == -1);
  this->isDispatching = true;
  this->Run(1s);
  BOOST_TEST(this->share == 0.1);
  this->isDispatching = false;
  this->Run(1s);
  BOOST_TEST(this->share == 0);
}

// Guards against a second trial of a version whose verdict is already in the
// store.
BOOST_FIXTURE_TEST_CASE(EndedOrderGetsNoSecondTrial, Fixture)
{
  this->orders.at("s").state = RolloutState::RolledBack;
  this->orders.at("s").hasStoredStatus = true;
  this->Run(1s);
  BOOST_TEST(this->writes.empty());
  BOOST_TEST(this->share == -1);
}

// Guards against a verdict that is written over that of another daemon: the
// platform has stopped the instances of one version by then.
BOOST_FIXTURE_TEST_CASE(VerdictOfAnotherDaemonIsNotOverwritten, Fixture)
{
  this->newFailureShare = 0.5;
  this->driver.Update(this->orders);
  this->AnswerWrite(200);
  this->Run(5s);
  BOOST_REQUIRE(this->decided.size() == 1U);
  this->AnswerWrite(409);
  RolloutOrder& order = this->orders.at("s");
  order.state = RolloutState::Completed;
  order.hasStoredStatus = true;
  order.revision = 9;
  this->isDispatching = false;
  this->Run(5s);
  BOOST_TEST(this->writes.empty());
}

// Guards against a verdict that the store lost when it came back from an older
// copy and that nobody writes again: a daemon that starts later would try the
// version once more.
BOOST_FIXTURE_TEST_CASE(AVerdictThatTheStoreLostIsWrittenAgain, Fixture)
{
  RolloutOrder& order = this->orders.at("s");
  order.state = RolloutState::RolledBack;
  order.isVerdictLost = true;
  this->isDispatching = false;
  this->Run(1s);
  BOOST_TEST(this->writes.empty());
  this->isDispatching = true;
  this->Run(1s);
  BOOST_TEST(this->share <= 0);
  const RolloutOrder written = this->AnswerWrite(200);
  BOOST_TEST((written.state == RolloutState::RolledBack));
  this->Run(1s);
  BOOST_TEST(this->writes.empty());
  // The store comes back once more, without what was written.
  order.revision = 6;
  this->Run(1s);
  BOOST_TEST((this->AnswerWrite(200).state == RolloutState::RolledBack));
  order.hasStoredStatus = true;
  order.isVerdictLost = false;
  this->Run(5s);
  BOOST_TEST(this->writes.empty());
  BOOST_TEST(this->decided.empty());
}
