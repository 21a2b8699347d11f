#include "moves/LatencyHistogram.h"

#include <boost/test/unit_test.hpp>

using namespace fireflytrail::moves;
using std::chrono::microseconds;

// Guards against quantiles outside the stated error of 9 %.
BOOST_AUTO_TEST_CASE(QuantilesAreWithinTheError)
{
  LatencyHistogram histogram;
  for (int duration = 1; duration <= 10'000; ++duration) {
    histogram.Add(microseconds(duration));
  }
  BOOST_TEST(histogram.Count() == 10'000U);
  for (const double share : { 0.5, 0.75, 0.95, 1.0 }) {
    const double exact = share * 10'000;
    const auto quantile =
      static_cast<double>(histogram.Quantile(share).count());
    BOOST_TEST(quantile >= exact);
    BOOST_TEST(quantile <= exact * 1.0906);
  }
}

// Guards against out-of-range bucket accesses for extreme durations.
BOOST_AUTO_TEST_CASE(AcceptsExtremeDurations)
{
  LatencyHistogram histogram;
  histogram.Add(microseconds(-5));
  histogram.Add(microseconds(0));
  histogram.Add(microseconds(std::int64_t{ 1 } << 60));
  BOOST_TEST(histogram.Count() == 3U);
  BOOST_TEST(histogram.Quantile(0).count() <= 2);
  BOOST_TEST(histogram.Quantile(1).count() > 100'000'000);
}
