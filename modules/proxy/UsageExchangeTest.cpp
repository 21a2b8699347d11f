#include "proxy/UsageExchange.h"

#include "usage/WindowTimes.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace fireflytrail::proxy {

namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr core::WallTimePoint kEpoch{ 1'800'000'000s };

/** Daemons in three failure domains whose messages arrive at once. */
struct Fleet
{
  struct Member
  {
    PeerHost host;
    std::uint64_t start = 0;
    bool isLive = true;
    milliseconds clockError{ 0 };
    std::unique_ptr<UsageExchange> exchange;
  };

  explicit Fleet(std::size_t aCount)
  {
    for (std::size_t index = 0; index < aCount; ++index) {
      auto& member = this->members.emplace_back(std::make_unique<Member>());
      member->host = { fmt::format("host-{}", index),
                       index % 2 == 0,
                       fmt::format("domain-{}", index % 3) };
      this->Start(*member);
    }
  }

  void Start(Member& aMember)
  {
    aMember.isLive = true;
    aMember.start = ++this->lastStart;
    aMember.exchange = std::make_unique<UsageExchange>(
      aMember.host,
      aMember.start,
      5000ms,
      10'000ms,
      UsageExchangeHooks{
        .now = [this] { return core::BootTime(this->now); },
        .wallNow =
          [this, &aMember] { return kEpoch + this->now + aMember.clockError; },
        .peers =
          [this, &aMember] {
            std::vector<PeerHost> peers;
            for (const auto& member : this->members) {
              if (member->isLive && member.get() != &aMember) {
                peers.push_back(member->host);
              }
            }
            return peers;
          },
        .send =
          [this, &aMember](const std::string& aTo, wire::WireMessage aMessage) {
            this->Deliver(aMember, aTo, aMessage);
          } });
  }

  void Deliver(const Member& aFrom,
               const std::string& aTo,
               const wire::WireMessage& aMessage)
  {
    for (const auto& member : this->members) {
      if (!member->isLive || member->host.name != aTo) {
        continue;
      }
      const core::DaemonId from{ aFrom.host.name, aFrom.start };
      if (const auto* news = std::get_if<wire::UsageNews>(&aMessage)) {
        this->crossings +=
          member->host.failureDomain != aFrom.host.failureDomain
            ? news->lifetimes.size()
            : 0;
        member->exchange->OnNews(from, *news);
      } else if (const auto* request =
                   std::get_if<wire::UsageRequest>(&aMessage)) {
        member->exchange->OnRequest(from, *request);
      }
    }
  }

  /** Lets time pass; each live daemon counts a request every 100 ms. */
  void Run(milliseconds aTime)
  {
    for (milliseconds passed{ 0 }; passed < aTime; passed += 100ms) {
      this->now += 100ms;
      for (const auto& member : this->members) {
        if (!member->isLive) {
          continue;
        }
        member->exchange->Count("a", core::BootTime(this->now));
        ++this->truth[usage::WindowAt(kEpoch + this->now, 5000ms)];
        if (this->now % 1000ms == 0ms) {
          member->exchange->Tick();
        }
      }
    }
  }

  UsageExchange& Of(std::size_t aIndex)
  {
    return *this->members[aIndex]->exchange;
  }

  milliseconds now{ 0 };
  std::uint64_t lastStart = 0;
  std::vector<std::unique_ptr<Member>> members;
  std::map<usage::WindowNumber, std::uint64_t> truth;
  /** Counters of lifetimes that crossed between domains. */
  std::size_t crossings = 0;
};

const usage::WindowNumber kFirst = usage::WindowAt(kEpoch, 5000ms);

} // namespace

BOOST_AUTO_TEST_SUITE(UsageExchangeTest)

// Counters cross domains once, and each request is counted once.
BOOST_AUTO_TEST_CASE(CollectsAllCountersWithOneAnswerADomain)
{
  Fleet fleet(12);
  fleet.Run(9000ms);
  BOOST_TEST(!fleet.Of(0).Collect(kFirst, false).has_value());
  const auto figures = fleet.Of(0).Collect(kFirst, false);
  BOOST_REQUIRE(figures.has_value());
  BOOST_TEST(figures->at("a") == fleet.truth.at(kFirst));
  BOOST_TEST(fleet.crossings == 8U);
}

// A host that loses its power loses at most what it has not pushed.
BOOST_AUTO_TEST_CASE(KeepsWhatAKilledHostHasPushed)
{
  Fleet fleet(12);
  fleet.Run(3500ms);
  fleet.members[4]->isLive = false;
  fleet.Run(5500ms);
  fleet.Of(0).Collect(kFirst, false);
  const auto figures = fleet.Of(0).Collect(kFirst, false);
  BOOST_REQUIRE(figures.has_value());
  BOOST_TEST(figures->at("a") == fleet.truth.at(kFirst) - 5);
}

// Planned stops one after the other, keepers among them, lose nothing.
BOOST_AUTO_TEST_CASE(HandsOverAtPlannedStops)
{
  Fleet fleet(12);
  for (std::size_t index = 1; index < 12; ++index) {
    fleet.Run(300ms);
    fleet.Of(index).HandOver();
    fleet.members[index]->isLive = false;
    fleet.Run(100ms);
    fleet.Start(*fleet.members[index]);
  }
  fleet.Run(6000ms);
  fleet.Of(0).Collect(kFirst, false);
  const auto figures = fleet.Of(0).Collect(kFirst, false);
  BOOST_REQUIRE(figures.has_value());
  BOOST_TEST(figures->at("a") == fleet.truth.at(kFirst));
}

// A host whose clock was wrong at its start counts in the right windows once it
// has heard the median.
BOOST_AUTO_TEST_CASE(CorrectsTheClockOfAHost)
{
  Fleet fleet(12);
  fleet.members[4]->clockError = -3000ms;
  fleet.Start(*fleet.members[4]);
  fleet.Run(20'000ms);
  BOOST_TEST((fleet.Of(4).TrueTime() == kEpoch + fleet.now));
  // A later jump changes nothing.
  fleet.members[7]->clockError = 4000ms;
  fleet.Run(10'000ms);
  BOOST_TEST((fleet.Of(7).TrueTime() == kEpoch + fleet.now));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace fireflytrail::proxy
