#include "configuration/ProxySettings.h"

#include <boost/test/unit_test.hpp>

using namespace fireflytrail::configuration;
using namespace std::chrono_literals;

namespace {

const std::string kSettings = R"({
  // One entry host.
  "name": "edge-akl-a-1", "failure_domain": "akl-a",
  "store": "10.200.1.7:8642", "listen": "10.1.0.15:8641",
  "ready_listen": "10.1.0.15:8640", "operator_listen": "10.1.0.15:8649",
  "peer_listen": "10.1.0.15:7620",
  "first_peers": ["10.1.0.15:8649", "10.2.0.42:8649"],
  "stop_limit_ms": 5000, "retry_ratio": 0.25, "free_retries": 64.0,
  "trial_share": 0.05, "order_of_service": "by_worth", "memory_mb": 160, "max_descriptors": 4100, "log_bytes_per_second": 4096
})";

} // namespace

// Guards against a setting that is read into the wrong field.
BOOST_AUTO_TEST_CASE(ReadsAllProxySettings)
{
  const auto result = ProxySettings::Parse(kSettings);
  BOOST_REQUIRE(result.has_value());
  const ProxySettings& settings = result.value();
  BOOST_TEST(settings.name == "edge-akl-a-1");
  BOOST_TEST(settings.failureDomain == "akl-a");
  BOOST_TEST(settings.store.ToString() == "10.200.1.7:8642");
  BOOST_TEST(settings.listen.port == 8641);
  BOOST_TEST(settings.readyListen.port == 8640);
  BOOST_TEST(settings.operatorListen.port == 8649);
  BOOST_TEST(settings.peerListen.port == 7620);
  BOOST_REQUIRE(settings.seedPeers.size() == 2U);
  BOOST_TEST(settings.seedPeers[1].address == "10.2.0.42");
  BOOST_TEST((settings.stopLimit == 5s));
  BOOST_TEST(settings.retryRatio == 0.25);
  BOOST_TEST(settings.freeRetries == 64);
  BOOST_TEST(settings.trialShare == 0.05);
  BOOST_TEST((settings.orderOfService == OrderOfService::ByWorth));
  BOOST_TEST(settings.memoryMegabytes == 160);
  BOOST_TEST(settings.BodyMemoryBytes() == 67'108'864U);
  BOOST_TEST(settings.BufferMemoryBytes() == 16'777'216U);
  BOOST_TEST(settings.maxDescriptors == 4100U);
  BOOST_TEST(settings.MaxCallerConnections() == 2925U);
  BOOST_TEST(settings.MaxPeerConnections() == 683U);
  BOOST_TEST(settings.maxOperatorConnections == 64U);
  BOOST_TEST(settings.logBytesPerSecond == 4096U);
}

// Guards against bounds that a fleet of the largest size meets, or that do not
// follow the memory where no descriptors are stated.
BOOST_AUTO_TEST_CASE(ConnectionsAreBoundedByMemoryAndDescriptors)
{
  ProxySettings settings;
  settings.memoryMegabytes = 64;
  BOOST_TEST(settings.MaxCallerConnections() == 1365U);
  BOOST_TEST(settings.MaxPeerConnections() == 341U);
  settings.maxDescriptors = 800;
  BOOST_TEST(settings.MaxCallerConnections() == 450U);
  BOOST_TEST(settings.MaxPeerConnections() == 133U);
  settings.maxCallerConnections = 10;
  settings.maxPeerConnections = 20;
  BOOST_TEST(settings.MaxCallerConnections() == 10U);
  BOOST_TEST(settings.MaxPeerConnections() == 20U);
}

// Guards against invalid settings that are accepted, and against errors that
// are reported one at a time.
BOOST_AUTO_TEST_CASE(ReportsAllProxySettingErrors)
{
  const auto result = ProxySettings::Parse(
    R"({ "name": "x", "retry_ratio": 2, "listen": "nowhere", "extra": 1 })");
  BOOST_REQUIRE(!result.has_value());
  BOOST_TEST(result.error().size() >= 4U);
}

// Guards against a stop that is cut short because the platform states its grace
// as a fraction of seconds.
BOOST_AUTO_TEST_CASE(StopLimitMayBeAFractionOfSeconds)
{
  std::string text = kSettings;
  const std::string milliseconds = "\"stop_limit_ms\": 5000";
  text.replace(
    text.find(milliseconds), milliseconds.size(), "\"stop_limit_s\": 2.5");
  const auto result = ProxySettings::Parse(text);
  BOOST_REQUIRE(result.has_value());
  BOOST_TEST((result.value().stopLimit == 2500ms));
}

// Guards against reports of usage where the platform asks for none, and against
// times in the wrong unit.
BOOST_AUTO_TEST_CASE(UsageIsReportedOnlyWithAnAddress)
{
  BOOST_TEST(
    !ProxySettings::Parse(kSettings).value().usageReportAddress.has_value());
  std::string text = kSettings;
  text.replace(text.rfind('}'),
               1,
               R"(, "usage_report_address": "10.0.0.9:80", "usage_window_s": 5,
               "usage_late_s": 10, "lease_ms": 3000,
               "usage_calls_per_second": 50.0 })");
  const auto result = ProxySettings::Parse(text);
  BOOST_REQUIRE(result.has_value());
  BOOST_TEST(result.value().usageReportAddress->port == 80);
  BOOST_TEST((result.value().usageWindow == 5s));
  BOOST_TEST((result.value().usageLate == 10s));
  BOOST_TEST((result.value().lease == 3s));
  BOOST_TEST(result.value().usageCallsPerSecond == 50);
}

// Guards against a start that is refused because the platform does not state an
// optional value.
BOOST_AUTO_TEST_CASE(NullTakesTheDefaultOfAnOptionalSetting)
{
  std::string text = kSettings;
  for (const std::string key :
       { "\"stop_limit_ms\": 5000", "\"retry_ratio\": 0.25" }) {
    const std::size_t colon = key.find(':');
    text.replace(text.find(key), key.size(), key.substr(0, colon) + ": null");
  }
  const auto result = ProxySettings::Parse(text);
  BOOST_REQUIRE(result.has_value());
  BOOST_TEST((result.value().stopLimit == 6s));
  BOOST_TEST(result.value().retryRatio == 0.2);
  const std::string name = "\"edge-akl-a-1\"";
  text.replace(text.find(name), name.size(), "null");
  BOOST_TEST(!ProxySettings::Parse(text).has_value());
}
