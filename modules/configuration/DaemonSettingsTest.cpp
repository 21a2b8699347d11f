#include "configuration/DaemonSettings.h"

#include <boost/test/unit_test.hpp>

using namespace fireflytrail::configuration;

namespace {

const std::string kSettings = R"({
  // One entry host.
  "name": "entry-1", "region": "north", "failure_domain": "a",
  "store": "127.0.0.1:7000", "listen": "127.0.0.1:0",
  "peer_listen": "[::1]:7001", "operator_listen": "127.0.0.1:7002",
  "traffic_threads": 2, "log_level": "warning", "drain_limit_ms": 5000
})";

const std::string kText = R"({ "name": "test", "weighs_most": "latency",
  "regions": { "north": ["a"], "south": ["b"] },
  "services": { "first": { "slots": 4, "version": "1", "calls": {
    "one": { "method": "GET", "path": "/x", "deadline_ms": 6000 } } } } })";

} // namespace

// Guards against a setting that is read into the wrong field.
BOOST_AUTO_TEST_CASE(ReadsAllSettings)
{
  const auto result = DaemonSettings::Parse(kSettings);
  BOOST_REQUIRE(result.has_value());
  const DaemonSettings& settings = result.value();
  BOOST_TEST(settings.name == "entry-1");
  BOOST_TEST(settings.region == "north");
  BOOST_TEST(settings.failureDomain == "a");
  BOOST_TEST(settings.store.ToString() == "127.0.0.1:7000");
  BOOST_TEST(settings.listen.port == 0);
  BOOST_TEST(settings.peerListen.ToString() == "[::1]:7001");
  BOOST_TEST(settings.operatorListen.port == 7002);
  BOOST_TEST(settings.trafficThreads == 2U);
  BOOST_TEST((settings.logLevel == fireflytrail::core::LogLevel::Warning));
  BOOST_TEST((settings.drainLimit == std::chrono::seconds(5)));
}

// Guards against a daemon that starts with an invalid address, a host name
// instead of an IP address, or an unknown key, and against errors that are
// reported one at a time or with a wrong line.
BOOST_AUTO_TEST_CASE(ReportsAllErrors)
{
  const auto result = DaemonSettings::Parse(R"({
  "name": "entry-1", "region": "north", "failure_domain": "a",
  "store": "store.example:7000",
  "listen": "127.0.0.1:70000",
  "peer_listen": "127.0.0.1",
  "operator_listen": "127.0.0.1:1",
  "traffic_threads": 0,
  "drain_limt_ms": 5000
})");
  BOOST_REQUIRE(!result.has_value());
  BOOST_TEST(result.error().size() == 5U);
  for (std::size_t index = 0; index < result.error().size(); ++index) {
    const std::size_t line = index < 3 ? 3 + index : 4 + index;
    BOOST_TEST(result.error()[index].line == line);
  }
  BOOST_TEST(result.error()[3].message == "must be an integer from 1 to 64");
}

// Guards against a graceful stop that aborts a call before its deadline, and
// against a daemon in a failure domain that the text does not contain or has in
// another region.
BOOST_AUTO_TEST_CASE(ChecksAgainstText)
{
  DaemonSettings settings = DaemonSettings::Parse(kSettings).value();
  const OperatorText text = OperatorText::Parse(kText).value();
  auto errors = settings.CheckAgainst(text);
  BOOST_REQUIRE_EQUAL(errors.size(), 1U);
  BOOST_TEST(errors[0].path == "drain_limit_ms");
  settings.drainLimit = std::chrono::seconds(6);
  BOOST_TEST(settings.CheckAgainst(text).empty());
  settings.failureDomain = "b";
  errors = settings.CheckAgainst(text);
  BOOST_REQUIRE_EQUAL(errors.size(), 1U);
  BOOST_TEST(errors[0].path == "region");
  settings.failureDomain = "c";
  errors = settings.CheckAgainst(text);
  BOOST_REQUIRE_EQUAL(errors.size(), 1U);
  BOOST_TEST(errors[0].path == "failure_domain");
}
