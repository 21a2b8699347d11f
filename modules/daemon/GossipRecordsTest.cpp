#include "daemon/GossipRecords.h"

#include <boost/test/unit_test.hpp>

using namespace fireflytrail;
using namespace fireflytrail::daemon;
using namespace std::chrono_literals;

namespace {

struct Publisher
{
  core::TimePoint time{ 1h };
  std::vector<std::pair<std::string, std::string>> published;
  GossipRecords records{ [this] { return this->time; },
                         [this](std::string_view aKey,
                                std::string_view aValue) {
                           this->published.emplace_back(aKey, aValue);
                         } };
};

routing::HealthObservation
Observation(std::uint32_t aConcurrency)
{
  return { .serverId = "server-1",
           .kind = routing::HealthObservationKind::Concurrency,
           .concurrency = aConcurrency };
}

} // namespace

// Guards against a publication for every single observation. Each is sent to
// several peers, which made 19 idle daemons send 700 KB/s each.
BOOST_AUTO_TEST_CASE(ObservationsAreBatched)
{
  Publisher publisher;
  for (std::uint32_t count = 1; count <= 50; ++count) {
    publisher.records.Publish(Observation(count));
    publisher.records.Flush();
  }
  BOOST_TEST(publisher.published.size() == 1U);
  publisher.time += GossipRecords::kPublishInterval;
  publisher.records.Flush();
  BOOST_REQUIRE_EQUAL(publisher.published.size(), 2U);
  const auto& [key, value] = publisher.published.back();
  const auto parsed = GossipRecords::ParseHealth(key, value);
  BOOST_REQUIRE_EQUAL(parsed.size(), 1U);
  BOOST_TEST(parsed[0].concurrency == 50U);
}

// Guards against applying a malformed record of another daemon.
BOOST_AUTO_TEST_CASE(MalformedRecordsAreIgnored)
{
  for (const char* value :
       { "", "{}", "[1]", "[[1,2,3,4]]", R"([["a",9,1,1]])", "[[" }) {
    BOOST_TEST(GossipRecords::ParseHealth("health.0", value).empty());
    BOOST_TEST(GossipRecords::ParseCrashes("crashes", value).size() <= 1U);
  }
}
