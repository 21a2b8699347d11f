#include "proxy/StoreRelay.h"

#include "wire/FrameCodec.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace fireflytrail;
using namespace fireflytrail::proxy;
using namespace std::chrono_literals;

namespace {

constexpr auto kLatency = 2ms;
constexpr auto kTimeToApply = 2s;

/** Relays on hosts whose links send and receive at a limited rate. */
class LinkedFleet
{
public:
  struct Host
  {
    PeerHost description;
    std::unique_ptr<StoreRelay> relay;
    double bytesPerSecond = 0;
    core::TimePoint canSendAt;
    core::TimePoint canReceiveAt;
    std::uint64_t revision = 0;
    /** The routes of the content of that revision. */
    std::size_t routeCount = 0;
    std::size_t receivedBytes = 0;
  };

  /** Adds a host. A strong host has a link of 200 Mbit/s, others 10. */
  void Add(const std::string& aName, bool aIsStrong, const std::string& aDomain)
  {
    Host& host = this->hosts[aName];
    host.description = { aName, aIsStrong, aDomain };
    constexpr double kBytesPerMegabit = 125'000;
    host.bytesPerSecond = (aIsStrong ? 200 : 10) * kBytesPerMegabit;
  }

  /** Starts the relays with an object at revision 1. */
  void Start(const boost::json::value& aContent)
  {
    for (auto& [name, host] : this->hosts) {
      host.relay = std::make_unique<StoreRelay>(
        host.description, std::vector<std::string>{ "k" }, this->HooksOf(name));
    }
    auto offset = 0ms;
    for (auto& [name, host] : this->hosts) {
      host.relay->OnListed("k", 1, { { "k", "a", 1, false, aContent } });
      this->ScheduleTicks(host, offset);
      offset = (offset + 170ms) % StoreRelay::kHeartbeatInterval;
    }
  }

  /** Calls a function after a time. */
  void After(core::TimePoint::duration aTime, std::function<void()> aFunction)
  {
    this->events.emplace(this->time + aTime, std::move(aFunction));
  }

  void Run(core::TimePoint::duration aTime)
  {
    const core::TimePoint end = this->time + aTime;
    while (!this->events.empty() && this->events.begin()->first <= end) {
      auto event = this->events.extract(this->events.begin());
      this->time = event.key();
      event.mapped()();
    }
    this->time = end;
  }

  /** Delivers a change from the store to all hosts that watch it. */
  void Change(std::uint64_t aRevision, const boost::json::value& aContent)
  {
    for (auto& [name, host] : this->hosts) {
      if (host.relay->ShouldWatch()) {
        host.relay->OnWatched("k",
                              { { "k", "a", aRevision, false, aContent } });
      }
    }
  }

  core::TimePoint time{ 1h };
  std::map<std::string, Host> hosts;

private:
  void ScheduleTicks(Host& aHost, core::TimePoint::duration aDelay)
  {
    this->After(aDelay, [this, &aHost] {
      aHost.relay->Tick();
      this->ScheduleTicks(aHost, aHost.relay->NextDue() - this->time);
    });
  }

  StoreRelayHooks HooksOf(const std::string& aName)
  {
    Host& host = this->hosts[aName];
    return { .now = [this] { return this->time; },
             .peers =
               [this, aName] {
                 std::vector<PeerHost> peers;
                 for (const auto& [name, other] : this->hosts) {
                   if (name != aName) {
                     peers.push_back(other.description);
                   }
                 }
                 return peers;
               },
             .broadcast =
               [this, aName](const wire::WireMessage& aMessage) {
                 for (const auto& [name, other] : this->hosts) {
                   if (name != aName) {
                     this->Transmit(aName, name, aMessage);
                   }
                 }
               },
             .send =
               [this, aName](const std::string& aTo,
                             const wire::WireMessage& aMessage) {
                 this->Transmit(aName, aTo, aMessage);
               },
             .onObjects =
               [&host](const std::string&,
                       const std::vector<store::ObjectRecord>& aObjects) {
                 host.revision = aObjects.back().revision;
                 host.routeCount =
                   aObjects.back().content.at("Resources").as_array().size();
               },
             .onRevision = [](const std::string&, std::uint64_t) {},
             .lastAnswerTime = [this] { return this->time; },
             .onOutageEnded = [](std::chrono::nanoseconds) {} };
  }

  void Transmit(const std::string& aFrom,
                const std::string& aTo,
                const wire::WireMessage& aMessage)
  {
    const std::size_t size = wire::FrameCodec::Encode(aMessage)->size();
    Host& from = this->hosts.at(aFrom);
    Host& to = this->hosts.at(aTo);
    const auto timeAt = [size](const Host& aHost) {
      return std::chrono::duration_cast<core::TimePoint::duration>(
        std::chrono::duration<double>(static_cast<double>(size) /
                                      aHost.bytesPerSecond));
    };
    from.canSendAt = std::max(from.canSendAt, this->time) + timeAt(from);
    to.canReceiveAt =
      std::max(to.canReceiveAt, from.canSendAt + kLatency) + timeAt(to);
    to.receivedBytes += size;
    this->After(to.canReceiveAt - this->time, [&to, aFrom, aMessage] {
      if (const auto* update = std::get_if<wire::StoreNews>(&aMessage)) {
        to.relay->OnUpdate(aFrom, *update);
      } else if (const auto* heartbeat =
                   std::get_if<wire::StoreBeat>(&aMessage)) {
        to.relay->OnHeartbeat(aFrom, *heartbeat);
      } else if (const auto* request =
                   std::get_if<wire::StoreNewsRequest>(&aMessage)) {
        to.relay->OnUpdateRequest(aFrom, *request);
      }
    });
  }

  std::multimap<core::TimePoint, std::function<void()>> events;
};

/** Returns a configuration of 250 bytes a route, with one route changed. */
boost::json::value
MakeConfiguration(std::size_t aRouteCount, std::uint64_t aRevision)
{
  boost::json::array routes;
  for (std::size_t index = 0; index < aRouteCount; ++index) {
    const std::uint64_t changedAt =
      aRevision % aRouteCount == index ? aRevision : 0;
    routes.push_back(boost::json::object{
      { "Name", fmt::format("route-{}", index) },
      { "PathPrefix", fmt::format("/{:064x}/", index * 7919) },
      { "Service", fmt::format("service-{}-{}", index % 7, changedAt) },
      { "Notes", std::string(100, 'n') } });
  }
  return boost::json::object{ { "Resources", std::move(routes) } };
}

/** Domain 0 has several strong hosts, domain 1 has one, domain 2 has none. */
LinkedFleet
MakeFleet()
{
  LinkedFleet fleet;
  for (int index = 0; index < 36; ++index) {
    const int domain = index % 3;
    const bool isStrong = (domain == 0 && index < 12) || index == 1;
    fleet.Add(fmt::format("host-{}", index), isStrong, std::to_string(domain));
  }
  return fleet;
}

} // namespace

// Guards against hosts on slow links that use a configuration which was
// replaced more than two seconds before, because each change of one route sends
// the whole configuration to every host (icheon-lampgas-grown,
// large-text-storm, seed 52).
BOOST_AUTO_TEST_CASE(ChangesOfLargeConfigurationReachHostsOnSlowLinksInTime)
{
  constexpr std::size_t kRouteCount = 1400;
  LinkedFleet fleet = MakeFleet();
  fleet.Start(MakeConfiguration(kRouteCount, 1));
  fleet.Run(6s);
  for (std::uint64_t revision = 2; revision <= 20; ++revision) {
    fleet.After(350ms * revision, [&fleet, revision] {
      fleet.Change(revision, MakeConfiguration(kRouteCount, revision));
      fleet.After(kTimeToApply, [&fleet, revision] {
        for (const auto& [name, host] : fleet.hosts) {
          BOOST_TEST(host.revision >= revision,
                     name << " lacks revision " << revision);
        }
      });
    });
  }
  fleet.Run(12s);
  for (const auto& [name, host] : fleet.hosts) {
    BOOST_TEST(host.revision == 20U);
    BOOST_TEST(host.routeCount == kRouteCount);
  }
}

// Guards against a host that was not reached by a change and then cannot read
// the patches of later ones.
BOOST_AUTO_TEST_CASE(HostThatMissedAChangeReceivesTheWholeObject)
{
  constexpr std::size_t kRouteCount = 1400;
  LinkedFleet fleet = MakeFleet();
  fleet.Start(MakeConfiguration(kRouteCount, 1));
  fleet.Run(6s);
  LinkedFleet::Host& late = fleet.hosts.at("host-35");
  // The link of this host is busy until the change has been replaced.
  const double rate = std::exchange(late.bytesPerSecond, 10.0);
  late.relay->OnUpdate(
    "host-0",
    { { { "k",
          1,
          3,
          false,
          { { "a", 3, false, "", 2, { { "x", 0, 0 } }, 5 } } } },
      false });
  BOOST_TEST(late.revision == 1U);
  late.bytesPerSecond = rate;
  fleet.Change(2, MakeConfiguration(kRouteCount, 2));
  fleet.Change(3, MakeConfiguration(kRouteCount, 3));
  fleet.Run(2s);
  BOOST_TEST(late.revision == 3U);
}

// Guards against a host that requests a missing change again while the reply is
// on its way, so that copies of a large object fill its link.
BOOST_AUTO_TEST_CASE(LateReplyIsNotRequestedAgain)
{
  constexpr auto kReplyTime = 400ms;
  constexpr auto kHeartbeatSpacing = 160ms;
  core::TimePoint now{ 1h };
  unsigned requests = 0;
  StoreRelay relay(
    { "host-0", false, "0" },
    { "k" },
    { .now = [&now] { return now; },
      .peers = [] { return std::vector<PeerHost>{}; },
      .broadcast = [](const wire::WireMessage&) {},
      .send =
        [&requests](const std::string&, const wire::WireMessage& aMessage) {
          requests +=
            std::holds_alternative<wire::StoreNewsRequest>(aMessage) ? 1 : 0;
        },
      .onObjects = [](const std::string&,
                      const std::vector<store::ObjectRecord>&) {},
      .onRevision = [](const std::string&, std::uint64_t) {},
      .lastAnswerTime = [&now] { return now; },
      .onOutageEnded = [](std::chrono::nanoseconds) {} });
  relay.OnListed("k", 1, { { "k", "a", 1, false, boost::json::object{} } });
  relay.OnHeartbeat("host-1", { { 2 }, false, true });
  const core::TimePoint firstRequest = now + kHeartbeatSpacing;
  for (unsigned count = 0; now < firstRequest + kReplyTime; ++count) {
    now += kHeartbeatSpacing;
    relay.OnHeartbeat(count % 2 == 0 ? "host-2" : "host-3",
                      { { 2 }, false, true });
  }
  BOOST_TEST(requests == 1U);
}
