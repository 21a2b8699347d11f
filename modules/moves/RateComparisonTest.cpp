#include "moves/RateComparison.h"

#include <boost/test/unit_test.hpp>

#include <random>

using namespace fireflytrail::moves;

namespace {

constexpr std::size_t kWindows = 48;

RateComparison::Stratum
DrawStratum(std::mt19937_64& aEngine, double aOldRate, double aNewRate)
{
  return {
    950,
    static_cast<double>(std::binomial_distribution<>(950, aOldRate)(aEngine)),
    50,
    static_cast<double>(std::binomial_distribution<>(50, aNewRate)(aEngine))
  };
}

} // namespace

// Guards against a likelihood ratio that often becomes large for a good
// version: at any time of 48 windows it may reach 100 in at most 1 of 100 runs
// on average. 11 of 500 runs are allowed, which a test with exactly this rate
// exceeds with a probability below 1 %.
BOOST_AUTO_TEST_CASE(GoodVersionsRarelyReachTheThreshold)
{
  std::mt19937_64 engine(4);
  for (const double rate : { 0.002, 0.05, 0.25 }) {
    int reached = 0;
    for (int run = 0; run < 500; ++run) {
      RateComparison comparison(1, 1);
      bool isReached = false;
      for (std::size_t window = 0; window < kWindows; ++window) {
        const auto stratum = DrawStratum(engine, rate, rate);
        comparison.AddWindow({ &stratum, 1 });
        isReached = isReached || comparison.LikelihoodRatio(kWindows) >= 100;
      }
      reached += isReached ? 1 : 0;
    }
    BOOST_TEST(reached <= 11);
  }
}

// Guards against missing a fault, also one that begins after many good windows.
BOOST_AUTO_TEST_CASE(FindsFaultsEarlyAndLate)
{
  for (const std::size_t begin : { std::size_t{ 0 }, std::size_t{ 30 } }) {
    std::mt19937_64 engine(5);
    RateComparison comparison(1.25, 1);
    for (std::size_t window = 0; window < begin + 3; ++window) {
      const auto stratum =
        DrawStratum(engine, 0.002, window < begin ? 0.002 : 0.2);
      comparison.AddWindow({ &stratum, 1 });
    }
    BOOST_TEST(comparison.LikelihoodRatio(kWindows) > 1e6);
  }
}

// Guards against blaming the new version for a fault of both versions, for
// example of a service that both call.
BOOST_AUTO_TEST_CASE(IgnoresFaultsOfBothVersions)
{
  std::mt19937_64 engine(6);
  RateComparison comparison(1.1, 1);
  for (std::size_t window = 0; window < kWindows; ++window) {
    const double rate = window % 5 == 0 ? 0.4 : 0.001;
    const auto stratum = DrawStratum(engine, rate, rate);
    comparison.AddWindow({ &stratum, 1 });
    BOOST_TEST(comparison.LikelihoodRatio(kWindows) < 100);
  }
}

// Guards against a division by zero in strata without calls of one version.
BOOST_AUTO_TEST_CASE(SkipsStrataWithoutBothVersions)
{
  RateComparison comparison(1, 1);
  const std::vector<RateComparison::Stratum> strata = { { 0, 0, 100, 50 },
                                                        { 100, 50, 0, 0 },
                                                        { 0, 0, 0, 0 } };
  comparison.AddWindow(strata);
  BOOST_TEST(comparison.LikelihoodRatio(1) == 1.0,
             boost::test_tools::tolerance(1e-9));
}
