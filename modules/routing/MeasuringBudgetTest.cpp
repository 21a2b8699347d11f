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

/** Simulates hosts that all measure one server as often as their budgets allow.
 */
class MeasuringFleet
{
public:
  explicit MeasuringFleet(std::string aServer)
    : server(std::move(aServer))
  {
  }

  void AddHosts(unsigned aCount)
  {
    for (unsigned host = 0; host < aCount; ++host) {
      this->names.push_back("entry-" + std::to_string(this->names.size()));
      this->budgets.emplace_back(
        this->server, 4, 0.01, kProbe, this->names.back(), [this] {
          return this->time;
        });
    }
  }

  /** Makes the first `aCount` hosts known to all hosts. */
  void SetKnownHosts(std::size_t aCount)
  {
    for (auto& budget : this->budgets) {
      budget.SetHosts(
        { this->names.begin(),
          this->names.begin() + static_cast<std::ptrdiff_t>(aCount) });
    }
  }

  /** Splits the hosts into those with odd and with even numbers; each half does
   * not know the other. */
  void PartitionHosts()
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

  /** Advances the time in steps of 1 ms; each host tries a probe or a
   * connection in every step. */
  void Run(std::chrono::milliseconds aDuration)
  {
    const core::TimePoint end = this->time + aDuration;
    while (this->time < end) {
      for (auto& budget : this->budgets) {
        const auto cost = this->engine() % 2 == 0 ? kProbe : kConnect;
        if (budget.TrySpend(cost)) {
          this->spent.emplace_back(this->time, cost);
        }
      }
      this->time += 1ms;
    }
  }

  /** Returns the largest cost of measurements in any window of one second. */
  std::chrono::microseconds LargestWindowCost() const
  {
    std::chrono::microseconds largest{ 0 };
    std::chrono::microseconds sum{ 0 };
    std::size_t first = 0;
    for (const auto& [at, cost] : this->spent) {
      sum += cost;
      while (at - this->spent[first].first > 1s) {
        sum -= this->spent[first].second;
        ++first;
      }
      largest = std::max(largest, sum);
    }
    return largest;
  }

  std::string server;
  core::TimePoint time{ 1s };
  std::mt19937_64 engine{ 1 };
  std::vector<std::string> names;
  std::vector<MeasuringBudget> budgets;
  std::vector<std::pair<core::TimePoint, std::chrono::microseconds>> spent;
};

} // namespace

// Guards against daemons that each use the whole budget and together exceed it,
// and against a budget that grants nothing.
BOOST_AUTO_TEST_CASE(MeasuringStaysWithinBudgetOverAllHosts)
{
  for (const unsigned hosts : { 1U, 2U, 19U }) {
    for (unsigned server = 0; server < 20; ++server) {
      MeasuringFleet fleet("till-" + std::to_string(server));
      fleet.AddHosts(hosts);
      fleet.SetKnownHosts(hosts);
      fleet.Run(6s);
      BOOST_TEST(fleet.LargestWindowCost().count() <= kBudget.count());
      BOOST_TEST(fleet.LargestWindowCost().count() >= kProbe.count());
    }
  }
}

// Guards against exceeding the budget while the hosts have different membership
// lists, for example during a network partition.
BOOST_AUTO_TEST_CASE(MeasuringStaysWithinBudgetWithHalfOfTheHostsUnknown)
{
  for (unsigned server = 0; server < 20; ++server) {
    for (const unsigned hosts : { 2U, 3U, 19U }) {
      MeasuringFleet fleet("till-" + std::to_string(server));
      fleet.AddHosts(hosts);
      fleet.PartitionHosts();
      fleet.Run(6s);
      BOOST_TEST(fleet.LargestWindowCost().count() <= kBudget.count());
    }
  }
}

// Guards against exceeding the budget when hosts join: before the others know
// the new hosts, or because each new host starts with an unused budget.
BOOST_AUTO_TEST_CASE(MeasuringStaysWithinBudgetWhileHostsJoin)
{
  for (unsigned server = 0; server < 20; ++server) {
    MeasuringFleet fleet("till-" + std::to_string(server));
    fleet.AddHosts(1);
    fleet.SetKnownHosts(1);
    fleet.Run(5s);
    for (const unsigned joining : { 1U, 8U, 9U }) {
      const std::size_t known = fleet.names.size();
      fleet.AddHosts(joining);
      // Each new host is known only to itself so far.
      fleet.SetKnownHosts(known);
      fleet.Run(2s);
      fleet.SetKnownHosts(fleet.names.size());
      fleet.Run(4s);
    }
    BOOST_TEST(fleet.LargestWindowCost().count() <= kBudget.count());
  }
}

// Guards against all hosts together opening more connections than a server
// accepts, while each host knows all of the others and while it knows only
// half.
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
