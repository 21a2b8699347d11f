#include "moves/ShareSampler.h"

#include <boost/test/unit_test.hpp>

#include <random>
#include <vector>

using namespace fireflytrail::moves;

// Guards against exceeding the share at small counts: 19 daemons with a few
// calls each must not send more than 5 % of their calls together to the new
// version.
BOOST_AUTO_TEST_CASE(NeverExceedsTheShare)
{
  std::mt19937_64 engine(1);
  std::vector<ShareSampler> samplers(19);
  std::uint64_t calls = 0;
  std::uint64_t newCalls = 0;
  for (int call = 0; call < 20'000; ++call) {
    ++calls;
    ShareSampler& sampler = samplers[engine() % samplers.size()];
    newCalls += sampler.Next(0.05, [&] { return engine(); }) ? 1 : 0;
    BOOST_REQUIRE(20 * newCalls <= calls);
  }
  // Also guards against a new version that gets too few calls to be judged.
  BOOST_TEST(newCalls >= 20'000 / 20 - 2 * samplers.size());
}

// Guards against a periodic caller that always gets the same version.
BOOST_AUTO_TEST_CASE(PeriodicCallersGetBothVersions)
{
  std::mt19937_64 engine(2);
  ShareSampler sampler;
  std::vector<int> newCallsByPhase(20);
  for (int call = 0; call < 100'000; ++call) {
    if (sampler.Next(0.05, [&] { return engine(); })) {
      ++newCallsByPhase[static_cast<std::size_t>(call % 20)];
    }
  }
  for (const int newCalls : newCallsByPhase) {
    BOOST_TEST(newCalls > 0);
  }
}

// Guards against a version that was taken back and still gets calls because of
// accumulated credit.
BOOST_AUTO_TEST_CASE(ZeroShareGetsNoCalls)
{
  ShareSampler sampler;
  const fireflytrail::core::RandomFunction random = [] { return 1; };
  for (int call = 0; call < 10; ++call) {
    sampler.Next(0.09, random);
  }
  for (int call = 0; call < 100; ++call) {
    BOOST_TEST(!sampler.Next(0, random));
  }
  BOOST_TEST(sampler.Next(1, random));
}
