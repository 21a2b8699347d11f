#include "routing/ServerHealth.h"

#include <boost/test/unit_test.hpp>

#include <deque>
#include <memory>
#include <numeric>
#include <vector>

using namespace fireflytrail;
using namespace fireflytrail::routing;
using namespace std::chrono_literals;

namespace {

/** Simulates several daemons that use the same server. Observations reach the
 * other daemons 20 ms after they are published. */
class HealthFleet
{
public:
  explicit HealthFleet(unsigned aCount)
  {
    std::vector<std::string> names;
    for (unsigned index = 0; index < aCount; ++index) {
      names.push_back("entry-" + std::to_string(index));
    }
    for (const auto& name : names) {
      const auto load =
        std::make_shared<ServerLoad>(ServerIdentity{ .id = "till-1",
                                                     .service = "till-sales",
                                                     .version = "1",
                                                     .address = "127.0.0.1:1",
                                                     .failureDomain = "akl-a" },
                                     4);
      this->loads.push_back(load);
      this->healths.push_back(std::make_unique<ServerHealth>(
        load,
        name,
        [this] { return this->time; },
        [this, name](const HealthObservation& aObservation) {
          this->messages.push_back({ this->time + 20ms, name, aObservation });
        }));
      this->healths.back()->SetHosts(names);
    }
    this->names = names;
  }

  /** Advances the time in steps of 1 ms. Each daemon has at most one call in
   * flight and sends the next as soon as its limit allows; each call takes
   * `aServiceTime` and ends with `aOutcome`. */
  void Run(std::chrono::milliseconds aDuration,
           std::chrono::milliseconds aServiceTime,
           SelectionOutcome aOutcome = SelectionOutcome::Answered)
  {
    const core::TimePoint end = this->time + aDuration;
    while (this->time < end) {
      this->time += 1ms;
      for (std::size_t index = 0; index < this->loads.size(); ++index) {
        auto& load = *this->loads[index];
        auto& calls = this->calls[index];
        if (!calls.empty() && calls.front().ends <= this->time) {
          load.Release(
            calls.front().token, aOutcome, calls.front().duration, this->time);
          calls.pop_front();
          if (this->report.slots > 0) {
            load.RecordReport(this->report, this->time);
          }
        }
        if (calls.empty()) {
          if (const auto token = load.TryAcquire(this->time)) {
            ++this->sent;
            calls.push_back(
              { *token, this->time + aServiceTime, aServiceTime });
          }
        }
      }
      std::size_t inFlight = 0;
      for (const auto& load : this->loads) {
        inFlight += load->InFlight();
      }
      this->maxInFlight = std::max(this->maxInFlight, inFlight);
      while (!this->messages.empty() &&
             this->messages.front().at <= this->time) {
        const Message message = this->messages.front();
        this->messages.pop_front();
        for (std::size_t index = 0; index < this->healths.size(); ++index) {
          if (this->names[index] != message.from) {
            this->healths[index]->OnPeerObservation(message.from,
                                                    message.observation);
          }
        }
      }
      if (this->time.time_since_epoch() % 10ms == 0ms) {
        for (auto& health : this->healths) {
          health->Tick({ .serviceTime = 10ms, .failureRatio = 0 });
        }
      }
    }
  }

  std::uint32_t SumOfLimits() const
  {
    std::uint32_t sum = 0;
    for (const auto& load : this->loads) {
      sum += load->Limit() == ServerLoad::kUnlimited ? 100 : load->Limit();
    }
    return sum;
  }

  struct Message
  {
    core::TimePoint at;
    std::string from;
    HealthObservation observation;
  };
  struct Call
  {
    ServerLoad::Token token;
    core::TimePoint ends;
    std::chrono::milliseconds duration;
  };

  core::TimePoint time{ 1s };
  std::vector<std::string> names;
  std::vector<std::shared_ptr<ServerLoad>> loads;
  std::vector<std::unique_ptr<ServerHealth>> healths;
  std::deque<Message> messages;
  std::deque<Call> calls[32];
  LoadReport report;
  std::size_t maxInFlight = 0;
  std::size_t sent = 0;
};

} // namespace

// Guards against a cold server getting 19 calls at once because each of 19
// daemons applies the limit of one call to itself only.
BOOST_AUTO_TEST_CASE(NewServerGetsOneCallFromAllDaemonsTogether)
{
  HealthFleet fleet(19);
  BOOST_TEST(fleet.SumOfLimits() == 1U);
  fleet.Run(200ms, 10ms);
  BOOST_TEST(fleet.maxInFlight == 1U);
}

// Guards against sending more than one call at a time to a server while it
// reports that it is cold, and against a ramp that takes more than 2 s once the
// server reports ready.
BOOST_AUTO_TEST_CASE(ColdServerIsRampedUpOnceItReportsReady)
{
  HealthFleet fleet(19);
  fleet.report = {
    .inFlight = 1, .slots = 4, .start = 7, .state = ReportedState::Cold
  };
  fleet.Run(5000ms, 30ms);
  BOOST_TEST(fleet.maxInFlight == 1U);
  fleet.report.state = ReportedState::Ready;
  fleet.Run(200ms, 10ms);
  BOOST_TEST(fleet.maxInFlight <= 2U);
  fleet.Run(1800ms, 10ms);
  for (const auto& health : fleet.healths) {
    BOOST_TEST((health->State() == ServerState::Ready));
  }
}

// Guards against a server that became ten times slower keeping its full
// traffic, and against a recovered server never regaining it.
BOOST_AUTO_TEST_CASE(SlowServerIsLimitedToOneCallAndRecovers)
{
  HealthFleet fleet(19);
  fleet.Run(2000ms, 10ms);
  BOOST_REQUIRE(fleet.SumOfLimits() > 19U);
  fleet.Run(250ms, 100ms);
  BOOST_TEST(fleet.SumOfLimits() == 1U);
  fleet.Run(3000ms, 100ms);
  BOOST_TEST(fleet.SumOfLimits() == 1U);
  fleet.Run(2000ms, 10ms);
  BOOST_TEST(fleet.SumOfLimits() > 19U);
}

// Guards against a network fault of one daemon causing the other daemons to
// restrict a healthy server.
BOOST_AUTO_TEST_CASE(SingleSuspicionDoesNotRestrictServer)
{
  HealthFleet fleet(19);
  fleet.Run(2000ms, 10ms);
  fleet.healths[3]->OnPeerObservation(
    "entry-5",
    { .serverId = "till-1", .kind = HealthObservationKind::Suspect });
  fleet.Run(100ms, 10ms);
  BOOST_TEST((fleet.healths[3]->State() == ServerState::Ready));
}

// Guards against sending full traffic to a server that restarted, and so became
// cold, between two answers.
BOOST_AUTO_TEST_CASE(ChangedStartIdentityMakesAServerCold)
{
  HealthFleet fleet(19);
  fleet.report = {
    .inFlight = 1, .slots = 4, .start = 7, .state = ReportedState::Ready
  };
  fleet.Run(2000ms, 10ms);
  BOOST_REQUIRE(fleet.SumOfLimits() > 19U);
  fleet.report.start = 8;
  fleet.Run(50ms, 10ms);
  BOOST_TEST(fleet.SumOfLimits() == 1U);
}

// Guards against a server that fails calls immediately attracting traffic
// because it appears idle. A limit of one call at a time is not enough: without
// a minimum interval, that is hundreds of calls per second.
BOOST_AUTO_TEST_CASE(FailingServerGetsOnlySingleCalls)
{
  HealthFleet fleet(19);
  fleet.Run(2000ms, 10ms);
  fleet.Run(250ms, 1ms, SelectionOutcome::Failed);
  const std::size_t before = fleet.sent;
  fleet.Run(2000ms, 1ms, SelectionOutcome::Failed);
  // One call every 100 ms.
  BOOST_TEST(fleet.sent - before <= 21U);
  fleet.Run(3000ms, 10ms);
  BOOST_TEST(fleet.SumOfLimits() > 19U);
}

// Guards against new calls to a server that is leaving or no longer listed, and
// against a server that is listed again getting its full share immediately.
BOOST_AUTO_TEST_CASE(LeavingServerGetsNoCallsAndReturnsCold)
{
  HealthFleet fleet(3);
  fleet.Run(2000ms, 10ms);
  auto& health = *fleet.healths[0];
  auto& load = *fleet.loads[0];
  BOOST_REQUIRE(load.Limit() == ServerLoad::kUnlimited);
  health.SetHostListState(true, true);
  BOOST_TEST(load.Limit() == 0U);
  BOOST_TEST((health.State() == ServerState::Draining));
  health.SetHostListState(false, false);
  BOOST_TEST((health.State() == ServerState::Gone));
  health.SetHostListState(true, false);
  BOOST_TEST((health.State() == ServerState::Cold));
  BOOST_TEST(load.Limit() <= 1U);
}

// Guards against daemons without calls repeatedly querying the ramp leader of a
// cold server, and against a constant query rate while there are calls.
BOOST_AUTO_TEST_CASE(LeaderQueriesNeedDemandAndBackOff)
{
  core::TimePoint time{ 1h };
  unsigned queries = 0;
  const auto load =
    std::make_shared<ServerLoad>(ServerIdentity{ .id = "s",
                                                 .service = "a",
                                                 .version = "1",
                                                 .address = "127.0.0.1:1",
                                                 .failureDomain = "d" },
                                 4);
  const std::vector<std::string> hosts{ "entry-0", "entry-1", "entry-2" };
  std::unique_ptr<ServerHealth> health;
  for (const std::string& self : hosts) {
    health = std::make_unique<ServerHealth>(
      load,
      self,
      [&] { return time; },
      [&](const HealthObservation& aObservation) {
        queries += aObservation.kind == HealthObservationKind::Query ? 1 : 0;
      });
    health->SetHosts(hosts);
    if (!health->IsRampLeader()) {
      break;
    }
  }
  const auto run = [&](bool aHasDemand) {
    for (const auto end = time + 60s; time < end; time += 10ms) {
      health->Tick(
        { .serviceTime = 10ms, .failureRatio = 0, .hasDemand = aHasDemand });
    }
  };
  run(false);
  BOOST_TEST(queries == 0U);
  run(true);
  // Queries follow after 1, 2, 4, 8, 16 and 32 s.
  BOOST_TEST(queries > 0U);
  BOOST_TEST(queries <= 6U);
}
