#include "routing/MeasuringBudget.h"
#include "routing/ConnectionPacer.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>
#include <utility>
#include <vector>

using namespace fireflytrail;
using namespace fireflytrail::routing;
using namespace std::chrono_literals;

namespace {

constexpr auto kProbe = 6000us;
constexpr auto kConnect = 1000us;
/** 1 % of the time of four slots. */
constexpr auto kBudget = 40000us;

/** Hosts that all measure one server as often as they may. */
class MeasuringFleet
{
public:
  explicit MeasuringFleet(std::string aServer)
    : server(std::move(aServer))
  {
  }

  void Join(unsigned aCount)
  {
    for (unsigned host = 0; host < aCount; ++host) {
      this->names.push_back("entry-" + std::to_string(this->names.size()));
      this->budgets.emplace_back(
        this->server, 4, 0.01, kProbe, this->names.back(), [this] {
          return this->time;
        });
    }
  }

  /** Each host knows all others up to `aCount`. */
  void KnowFirst(std::size_t aCount)
  {
    for (auto& budget : this->budgets) {
      budget.SetHosts(
        { this->names.begin(),
          this->names.begin() + static_cast<std::ptrdiff_t>(aCount) });
    }
  }

  /** Hosts with odd and even numbers do not know each other. */
  void KnowHalf()
  {
    for (std::size_t host = 0; host < this->budgets.size(); ++host) {
      std::vector<std::string> known;
      for (std::size_t other = host % 2; other < this->names.size();
           other += 2) {
        known.push_back(this->names[other]);
      }
      this->budgets[host].SetHosts(std::move(known));
    }
  }

  /** Lets time pass; each host tries a probe or a connection in every step. */
  void Run(std::chrono::milliseconds aDuration)
  {
    const core::TimePoint end = this->time + aDuration;
    while (this->time < end) {
      for (auto& budget : this->budgets) {
        const auto cost = this->engine() % 2 == 0 ? kProbe : kConnect;
        if (budget.TryTake(cost)) {
          this->spent.emplace_back(this->time, cost);
        }
      }
      this->time += 1ms;
    }
  }

  /** Returns the largest sum in any window of one second. */
  std::chrono::microseconds WorstWindow() const
  {
    std::chrono::microseconds worst{ 0 };
    std::chrono::microseconds sum{ 0 };
    std::size_t first = 0;
    for (const auto& [at, cost] : this->spent) {
      sum += cost;
      while (at - this->spent[first].first > 1s) {
        sum -= this->spent[first].second;
        ++first;
      }
      worst = std::max(worst, sum);
    }
    return worst;
  }

  std::string server;
  core::TimePoint time{ 1s };
  std::mt19937_64 engine{ 1 };
  std::vector<std::string> names;
  std::vector<MeasuringBudget> budgets;
  std::vector<std::pair<core::TimePoint, std::chrono::microseconds>> spent;
};

} // namespace

// Guards against daemons that each keep a budget of their own and together
// exceed that of the server, and against a budget that grants nothing.
BOOST_AUTO_TEST_CASE(MeasuringStaysWithinBudgetOverAllHosts)
{
  for (const unsigned hosts : { 1U, 2U, 19U }) {
    for (unsigned server = 0; server < 20; ++server) {
      MeasuringFleet fleet("till-" + std::to_string(server));
      fleet.Join(hosts);
      fleet.KnowFirst(hosts);
      fleet.Run(6s);
      BOOST_TEST(fleet.WorstWindow().count() <= kBudget.count());
      BOOST_TEST(fleet.WorstWindow().count() >= kProbe.count());
    }
  }
}

// Guards against the budget being exceeded while the hosts disagree about
// membership, for example during a partition.
BOOST_AUTO_TEST_CASE(MeasuringStaysWithinBudgetWithHalfOfTheHostsUnknown)
{
  for (unsigned server = 0; server < 20; ++server) {
    for (const unsigned hosts : { 2U, 3U, 19U }) {
      MeasuringFleet fleet("till-" + std::to_string(server));
      fleet.Join(hosts);
      fleet.KnowHalf();
      fleet.Run(6s);
      BOOST_TEST(fleet.WorstWindow().count() <= kBudget.count());
    }
  }
}

// Guards against hosts that join exceeding the budget before the others know
// them, or because each starts with a full budget.
BOOST_AUTO_TEST_CASE(MeasuringStaysWithinBudgetWhileHostsJoin)
{
  for (unsigned server = 0; server < 20; ++server) {
    MeasuringFleet fleet("till-" + std::to_string(server));
    fleet.Join(1);
    fleet.KnowFirst(1);
    fleet.Run(5s);
    for (const unsigned joining : { 1U, 8U, 9U }) {
      const std::size_t known = fleet.names.size();
      fleet.Join(joining);
      // The new hosts are not known to anyone yet, themselves excepted.
      fleet.KnowFirst(known);
      fleet.Run(2s);
      fleet.KnowFirst(fleet.names.size());
      fleet.Run(4s);
    }
    BOOST_TEST(fleet.WorstWindow().count() <= kBudget.count());
  }
}

// Guards against all hosts together exceeding the connections that a server
// accepts, with full and with half knowledge of the hosts.
BOOST_AUTO_TEST_CASE(ConnectionsStayWithinTotalOverAllHosts)
{
  core::TimePoint time{ 1s };
  for (const bool half : { false, true }) {
    for (const unsigned count : { 1U, 2U, 19U, 150U }) {
      std::vector<std::string> names;
      for (unsigned host = 0; host < count; ++host) {
        names.push_back("entry-" + std::to_string(host));
      }
      std::uint32_t open = 0;
      for (unsigned host = 0; host < count; ++host) {
        std::vector<std::string> known;
        for (std::size_t other = half ? host % 2 : 0; other < count;
             other += half ? 2 : 1) {
          known.push_back(names[other]);
        }
        const auto load = std::make_shared<ServerLoad>(
          ServerIdentity{ .id = "till-1",
                          .service = "till-sales",
                          .version = "1",
                          .address = "127.0.0.1:1",
                          .failureDomain = "akl-a" },
          4);
        ConnectionPacer pacer(
          load, 260, kConnect, names[host], [&] { return time; });
        pacer.SetHosts(known);
        while (pacer.TryOpen(ServerState::Ready)) {
          ++open;
        }
      }
      BOOST_TEST(open <= 260U);
      BOOST_TEST(open >= 130U);
    }
  }
}

// Guards against a burst of connections to a server that has just started.
BOOST_AUTO_TEST_CASE(ConnectionsToColdServerArePaced)
{
  core::TimePoint time{ 1s };
  const auto load =
    std::make_shared<ServerLoad>(ServerIdentity{ .id = "till-1",
                                                 .service = "till-sales",
                                                 .version = "1",
                                                 .address = "127.0.0.1:1",
                                                 .failureDomain = "akl-a" },
                                 4,
                                 1);
  ConnectionPacer pacer(load, 260, kConnect, "entry-0", [&] { return time; });
  unsigned opened = 0;
  for (int step = 0; step < 1000; ++step) {
    opened += pacer.TryOpen(ServerState::Cold) ? 1 : 0;
    time += 1ms;
  }
  BOOST_TEST(opened <= 50U);
  BOOST_TEST(opened >= 1U);
  load->SetLimit(0);
  time += 1s;
  BOOST_TEST(!pacer.TryOpen(ServerState::Cold));
  BOOST_TEST(!pacer.TryOpen(ServerState::Draining));
}
