#include "proxy/RolloutDriver.h"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <random>
#include <vector>

using namespace fireflytrail;
using namespace fireflytrail::proxy;
using namespace std::chrono_literals;
using routing::RolloutOrder;
using routing::RolloutState;
using routing::UseOutcome;

namespace {

/** A daemon with one service, and a store that the test answers for. */
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
    order.seenAt = this->time;
    order.revision = 7;
    order.createdRevision = 7;
    this->orders["s"] = order;
  }

  /** Answers the oldest write. */
  RolloutOrder AnswerWrite(std::optional<unsigned> aStatus)
  {
    BOOST_REQUIRE(!this->writes.empty());
    const auto [order, onWritten] = this->writes.front();
    this->writes.erase(this->writes.begin());
    onWritten(aStatus);
    return order;
  }

  /** Lets requests end, 30 in each quarter of a second. */
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
        ended.outcome = isFailed ? UseOutcome::Failed : UseOutcome::Answered;
        ended.duration = 100ms;
        ended.typical = 100ms;
        this->driver.OnEnded(ended);
      }
      this->time += RolloutDriver::kTickInterval;
      this->driver.Update(this->orders);
    }
  }
};

} // namespace

// Guards against a good version that is not moved, and against a move that
// counts as done before the store has accepted it.
BOOST_FIXTURE_TEST_CASE(AGoodVersionIsCompletedOnceWritten, Fixture)
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

// Guards against requests to a bad version between the verdict and the write of
// it, and against a verdict that is lost with an answer of the store.
BOOST_FIXTURE_TEST_CASE(ABadVersionGetsNoMoreRequestsAtOnce, Fixture)
{
  this->newFailureShare = 0.5;
  this->driver.Update(this->orders);
  this->AnswerWrite(200);
  this->Run(5s);
  BOOST_REQUIRE(this->decided.size() == 1U);
  BOOST_TEST((this->decided.front() == RolloutState::RolledBack));
  BOOST_TEST(this->share == 0);
  // The answer is lost, then the order has changed, then it is accepted.
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

// Guards against a daemon that tries a version although another one dispatches
// the service, and against a trial that goes on when another one takes over.
BOOST_FIXTURE_TEST_CASE(OnlyTheDispatchingDaemonTries, Fixture)
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

// Guards against a second trial of a version after the store has its verdict.
BOOST_FIXTURE_TEST_CASE(AnEndedOrderIsNotTriedAgain, Fixture)
{
  this->orders.at("s").state = RolloutState::RolledBack;
  this->orders.at("s").hasState = true;
  this->Run(1s);
  BOOST_TEST(this->writes.empty());
  BOOST_TEST(this->share == -1);
}
