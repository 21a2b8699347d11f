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

// Guards against a cold server being left to a host that has no calls for it.
BOOST_AUTO_TEST_CASE(IdleHostsAreLeftOut)
{
  Host host;
  host.activity.SetDemand("sales", 0);
  host.activity.SetIdle("b", { "sales" });
  BOOST_TEST(host.activity.ActiveHosts("sales", kHosts) == (Names{ "a", "c" }),
             boost::test_tools::per_element());
  BOOST_TEST(host.activity.ActiveHosts("other", kHosts) == kHosts,
             boost::test_tools::per_element());
  host.time += ServiceActivity::kIdleTime;
  host.activity.SetDemand("sales", 0);
  BOOST_REQUIRE_EQUAL(host.published.size(), 1U);
  BOOST_TEST(host.published[0] == Names{ "sales" },
             boost::test_tools::per_element());
}

// Guards against two hosts leading the same cold server: one that becomes
// active waits until the others have heard of it.
BOOST_AUTO_TEST_CASE(NewlyActiveHostWaitsForItsAnnouncement)
{
  Host host;
  host.activity.SetDemand("sales", 0);
  host.time += ServiceActivity::kIdleTime;
  host.activity.SetDemand("sales", 0);
  host.activity.SetDemand("sales", 1);
  BOOST_TEST(host.published.back().empty());
  BOOST_TEST(host.activity.ActiveHosts("sales", kHosts) == (Names{ "b", "c" }),
             boost::test_tools::per_element());
  host.time += ServiceActivity::kAnnounceTime;
  BOOST_TEST(host.activity.ActiveHosts("sales", kHosts) == kHosts,
             boost::test_tools::per_element());
}

// Guards against no host at all being left when nobody has calls.
BOOST_AUTO_TEST_CASE(AllHostsCountWhenAllAreIdle)
{
  Host host;
  host.activity.SetDemand("sales", 0);
  host.time += ServiceActivity::kIdleTime;
  host.activity.SetDemand("sales", 0);
  host.activity.SetIdle("b", { "sales" });
  host.activity.SetIdle("c", { "sales" });
  BOOST_TEST(host.activity.ActiveHosts("sales", kHosts) == kHosts,
             boost::test_tools::per_element());
}
