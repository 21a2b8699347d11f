#include "routing/ServerSelector.h"

#include "routing/RoutingTableBuilder.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <random>

using namespace fireflytrail;
using namespace fireflytrail::routing;
using namespace std::chrono_literals;

namespace {

/** A service with servers of given versions, and a selector for it. */
class SelectorFixture
{
public:
  SelectorFixture(std::map<std::string, double> aShares,
                  std::map<std::string, std::string> aServers)
  {
    this->builder.Begin(1);
    RoutingTableBuilder::Service service;
    service.name = "till-sales";
    service.slots = 4;
    service.versionShares = std::move(aShares);
    this->builder.AddService(std::move(service));
    for (const auto& [id, version] : aServers) {
      this->builder.AddServer({ .id = id,
                                .service = "till-sales",
                                .version = version,
                                .address = "127.0.0.1:1",
                                .failureDomain = "akl-a" });
    }
    this->table = this->builder.Build();
  }

  ServerSelector Selector(std::string_view aPolicy)
  {
    return ServerSelector::Make(
             aPolicy,
             [this] { return this->time; },
             [this] { return this->engine(); })
      .value();
  }

  const ServiceRoute& Service() const
  {
    return *this->table->Find("till-sales");
  }

  RoutingTableBuilder builder{ "entry-0" };
  std::shared_ptr<const RoutingTable> table;
  core::TimePoint time{ 1s };
  std::mt19937_64 engine{ 1 };
};

} // namespace

// Guards against silently using another policy when a policy name is misspelt.
BOOST_AUTO_TEST_CASE(SelectorRejectsUnknownPolicy)
{
  const auto selector = ServerSelector::Make(
    "fastest", [] { return core::TimePoint{}; }, [] { return 0; });
  BOOST_REQUIRE(!selector.has_value());
  BOOST_TEST(selector.error().detail.find("two_choices") != std::string::npos);
}

// Guards against a policy selecting a server that has reached its limit, is
// draining or was tried before, and against released calls still being counted
// as in flight.
BOOST_AUTO_TEST_CASE(EveryPolicyRespectsLimitsAndReleases)
{
  for (const std::string_view policy : ServerSelector::PolicyNames()) {
    SelectorFixture fixture({ { "1", 1.0 } },
                            { { "a", "1" }, { "b", "1" }, { "c", "1" } });
    fixture.builder.LoadOf("a")->SetLimit(0);
    fixture.builder.LoadOf("b")->SetLimit(2);
    fixture.builder.LoadOf("c")->RecordReport(
      { .inFlight = 0,
        .slots = 4,
        .start = 1,
        .state = ReportedState::Draining },
      fixture.time);
    auto selector = fixture.Selector(policy);
    {
      auto first = selector.Select(fixture.Service());
      auto second = selector.Select(fixture.Service());
      BOOST_REQUIRE(first.has_value());
      BOOST_REQUIRE(second.has_value());
      BOOST_TEST(first->Server().id == "b", policy);
      BOOST_TEST(second->Server().id == "b", policy);
      BOOST_TEST(!selector.Select(fixture.Service()).has_value(), policy);
      BOOST_TEST(fixture.Service().load->InFlight() == 2);
      first->Release(SelectionOutcome::Answered, 1ms, fixture.time);
      const ServerLoad* const tried[] = { fixture.builder.LoadOf("b").get() };
      BOOST_TEST(!selector.Select(fixture.Service(), tried).has_value(),
                 policy);
    }
    BOOST_TEST(fixture.builder.LoadOf("b")->InFlight() == 0U, policy);
    BOOST_TEST(fixture.Service().load->InFlight() == 0, policy);
  }
}

// Guards against a version on trial getting more than its share, because of the
// random draw or because the old version is busy.
BOOST_AUTO_TEST_CASE(VersionOnTrialGetsAtMostItsShare)
{
  SelectorFixture fixture({ { "1", 0.95 }, { "2", 0.05 } },
                          { { "a", "1" }, { "b", "2" } });
  auto selector = fixture.Selector(ServerSelector::kDefaultPolicy);
  unsigned trial = 0;
  for (int call = 0; call < 10000; ++call) {
    const auto selection = selector.Select(fixture.Service());
    BOOST_REQUIRE(selection.has_value());
    trial += selection->Server().version == "2" ? 1 : 0;
  }
  BOOST_TEST(trial > 400U);
  BOOST_TEST(trial < 600U);

  fixture.builder.LoadOf("a")->SetLimit(0);
  unsigned served = 0;
  for (int call = 0; call < 10000; ++call) {
    served += selector.Select(fixture.Service()).has_value() ? 1 : 0;
  }
  BOOST_TEST(served < 600U);

  // The old version gets the calls that the new version cannot take.
  fixture.builder.LoadOf("a")->SetLimit(ServerLoad::kUnlimited);
  fixture.builder.LoadOf("b")->SetLimit(0);
  for (int call = 0; call < 1000; ++call) {
    BOOST_TEST(selector.Select(fixture.Service()).has_value());
  }
}

// Guards against a returning failure domain getting its full share immediately.
BOOST_AUTO_TEST_CASE(WeightReducesTheShareOfAServer)
{
  SelectorFixture fixture({ { "1", 1.0 } }, {});
  RoutingTableBuilder& builder = fixture.builder;
  builder.Begin(2);
  RoutingTableBuilder::Service service;
  service.name = "till-sales";
  service.slots = 4;
  service.versionShares = { { "1", 1.0 } };
  builder.AddService(service);
  builder.SetDomain("akl-b", { .share = 0.1 });
  for (const char* id : { "a", "b" }) {
    builder.AddServer({ .id = id,
                        .service = "till-sales",
                        .version = "1",
                        .address = "127.0.0.1:1",
                        .failureDomain = std::string("akl-") + id });
  }
  fixture.table = builder.Build();
  auto selector = fixture.Selector("random");
  unsigned returning = 0;
  for (int call = 0; call < 10000; ++call) {
    const auto selection = selector.Select(fixture.Service());
    BOOST_REQUIRE(selection.has_value());
    returning += selection->Server().id == "b" ? 1 : 0;
  }
  BOOST_TEST(returning > 700U);
  BOOST_TEST(returning < 1200U);
}

// Guards against the default policy selecting the busier of two servers.
BOOST_AUTO_TEST_CASE(DefaultPolicyPrefersFewerCallsInFlight)
{
  SelectorFixture fixture({ { "1", 1.0 } }, { { "a", "1" }, { "b", "1" } });
  auto selector = fixture.Selector(ServerSelector::kDefaultPolicy);
  std::vector<Selection> held;
  for (int call = 0; call < 8; ++call) {
    auto selection = selector.Select(fixture.Service());
    BOOST_REQUIRE(selection.has_value());
    held.push_back(std::move(*selection));
  }
  BOOST_TEST(fixture.builder.LoadOf("a")->InFlight() <= 5U);
  BOOST_TEST(fixture.builder.LoadOf("b")->InFlight() <= 5U);
}
