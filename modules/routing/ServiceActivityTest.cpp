#include "routing/ServiceActivity.h"

#include <boost/test/unit_test.hpp>

using namespace fireflytrail;
using namespace fireflytrail::routing;
using namespace std::chrono_literals;

namespace {

using Names = std::vector<std::string>;

struct Host
{
  core::TimePoint time;
  std::vector<Names> published;
  ServiceActivity activity{ "a",
                            [this] { return this->time; },
                            [this](const Names& aIdle) {
                              this->published.push_back(aIdle);
                            } };
};

const Names kHosts{ "a", "b", "c" };

} // namespace

// Guards against assigning a cold server to a host that has no calls for its
// service.
BOOST_AUTO_TEST_CASE(IdleHostsAreExcluded)
{
  Host host;
  host.activity.UpdateCallCount("sales", 0);
  host.activity.SetIdleServices("b", { "sales" });
  BOOST_TEST(host.activity.ActiveHosts("sales", kHosts) == (Names{ "a", "c" }),
             boost::test_tools::per_element());
  BOOST_TEST(host.activity.ActiveHosts("other", kHosts) == kHosts,
             boost::test_tools::per_element());
  host.time += ServiceActivity::kIdleTimeout;
  host.activity.UpdateCallCount("sales", 0);
  BOOST_REQUIRE_EQUAL(host.published.size(), 1U);
  BOOST_TEST(host.published[0] == Names{ "sales" },
             boost::test_tools::per_element());
}

// Guards against two hosts both acting as ramp leader of a cold server. A host
// that becomes active must wait until the others have received its
// announcement.
BOOST_AUTO_TEST_CASE(NewlyActiveHostWaitsForItsAnnouncement)
{
  Host host;
  host.activity.UpdateCallCount("sales", 0);
  host.time += ServiceActivity::kIdleTimeout;
  host.activity.UpdateCallCount("sales", 0);
  host.activity.UpdateCallCount("sales", 1);
  BOOST_TEST(host.published.back().empty());
  BOOST_TEST(host.activity.ActiveHosts("sales", kHosts) == (Names{ "b", "c" }),
             boost::test_tools::per_element());
  host.time += ServiceActivity::kAnnouncementDelay;
  BOOST_TEST(host.activity.ActiveHosts("sales", kHosts) == kHosts,
             boost::test_tools::per_element());
}

// Guards against an empty list of hosts when no host has calls.
BOOST_AUTO_TEST_CASE(AllHostsCountWhenAllAreIdle)
{
  Host host;
  host.activity.UpdateCallCount("sales", 0);
  host.time += ServiceActivity::kIdleTimeout;
  host.activity.UpdateCallCount("sales", 0);
  host.activity.SetIdleServices("b", { "sales" });
  host.activity.SetIdleServices("c", { "sales" });
  BOOST_TEST(host.activity.ActiveHosts("sales", kHosts) == kHosts,
             boost::test_tools::per_element());
}
