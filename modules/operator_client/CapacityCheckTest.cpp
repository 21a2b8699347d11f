#include "operator_client/CapacityCheck.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include <string>
#include <vector>

using namespace fireflytrail;
using namespace fireflytrail::operator_client;

namespace {

const std::string kText = R"({
  "name": "shop", "weighs_most": "latency",
  "regions": { "north": ["a", "b", "c"] },
  "services": { "till": { "depends_on": [], "slots": 4, "version": "1",
    "calls": { "list": { "method": "GET", "path": "/list",
                         "deadline_ms": 1000 } } } } })";

struct Fixture
{
  Fixture()
  {
    this->state.textVersion = 1;
    this->state.text = kText;
    for (const std::string domain : { "a", "b", "c" }) {
      store::HostEntry server;
      server.id = "s-" + domain;
      server.service = "till";
      server.version = "1";
      server.domain = domain;
      this->hosts.hosts.push_back(server);
      store::HostEntry entry;
      entry.id = "e-" + domain;
      entry.kind = store::HostKind::Entry;
      entry.operatorAddress = "at-" + domain;
      entry.domain = domain;
      this->hosts.hosts.push_back(entry);
    }
  }

  MoveCommand::Capacity Run(const std::string& aDaemonAddress = {})
  {
    StoreAccess access;
    access.hosts = [this]() {
      return store::HostsResult{ store::StoreStatus::Ok, this->hosts, "" };
    };
    const auto getFromDaemon =
      [this](const std::string& aAddress,
             const std::string&) -> core::Result<std::string> {
      this->queriedAddresses.push_back(aAddress);
      if (aAddress == this->unreachableDaemon) {
        return core::Error{ core::ErrorKind::ConnectFailed, "refused" };
      }
      std::string servers;
      for (const std::string domain : { "a", "b", "c" }) {
        servers +=
          fmt::format(R"({}{{"id":"s-{}","reported_in_flight":{}}})",
                      servers.empty() ? "" : ",",
                      domain,
                      this->inFlight.empty()
                        ? 0
                        : this->inFlight[this->queriedAddresses.size() %
                                         this->inFlight.size()]);
      }
      return R"({"servers":[)" + servers + "]}";
    };
    return CapacityCheck(access, getFromDaemon, aDaemonAddress, []() {})
      .Run(this->state, "a");
  }

  configuration::DesiredState state;
  store::HostList hosts;
  std::vector<std::string> queriedAddresses;
  std::string unreachableDaemon;
  std::vector<int> inFlight;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(CapacityCheckTest, Fixture)

// Guards against refusing to take out a domain whose load the others can carry,
// and against a decision from a single sample of the load.
BOOST_AUTO_TEST_CASE(AveragesTheReportedLoad)
{
  // The first query uses index 1, so each server reports 4, 4, 0, 4 and 0
  // calls: 2.4 on average.
  this->inFlight = { 0, 4, 4, 0, 4 };
  const auto capacity = this->Run();
  BOOST_TEST(!capacity.isEnough);
  BOOST_TEST(capacity.details ==
             "till: 7.2 slots in use, 8 stay, of which 6.4 may be in use: not "
             "enough");
  this->queriedAddresses.clear();
  this->inFlight = { 1 };
  BOOST_TEST(this->Run().isEnough);
}

// Guards against counting servers that cannot take over the load: servers that
// are leaving, run another version or are in a domain that is already out.
BOOST_AUTO_TEST_CASE(CountsOnlyServersThatCanTakeOver)
{
  BOOST_TEST(this->Run().isEnough);
  this->hosts.hosts[2].state = store::HostState::Leaving;
  BOOST_TEST(this->Run().isEnough);
  this->hosts.hosts[4].version = "2";
  BOOST_TEST(!this->Run().isEnough);
  this->hosts.hosts[4].version = "1";
  configuration::Move move;
  move.id = "m1";
  move.failureDomain = "c";
  this->state.moves.push_back(move);
  BOOST_TEST(!this->Run().isEnough);
}

// Guards against a check that passes because no daemon reports the load or the
// host list is empty, and against asking only the first daemon.
BOOST_AUTO_TEST_CASE(UnknownLoadIsNotEnough)
{
  this->unreachableDaemon = "at-x";
  const auto capacity = this->Run("at-x");
  BOOST_TEST(!capacity.isEnough);
  BOOST_TEST(capacity.details ==
             "capacity unknown: no entry daemon reports the load");
  this->unreachableDaemon = "at-a";
  this->queriedAddresses.clear();
  BOOST_TEST(this->Run().isEnough);
  BOOST_TEST(this->queriedAddresses.front() == "at-a");
  BOOST_TEST(this->queriedAddresses.back() == "at-b");
  this->hosts.hosts.clear();
  BOOST_TEST(!this->Run("at-b").isEnough);
}

BOOST_AUTO_TEST_SUITE_END()
