#include "moves/Verdict.h"

#include <boost/test/unit_test.hpp>

using namespace fireflytrail::moves;

// Guards against a verdict that other daemons cannot parse, and against
// accepting a corrupt record as a verdict.
BOOST_AUTO_TEST_CASE(VerdictSurvivesSerialization)
{
  const Verdict verdict{ "m1",
                         fireflytrail::core::WallTimePoint(
                           std::chrono::milliseconds(1'800'000'000'123)),
                         "entry-3",
                         "call \"sell\": 31 of 400 calls failed" };
  const auto parsed = Verdict::Parse(verdict.Serialize());
  BOOST_REQUIRE(parsed.has_value());
  BOOST_TEST((parsed.value() == verdict));
  BOOST_TEST(!Verdict::Parse("").has_value());
  BOOST_TEST(!Verdict::Parse("{}").has_value());
  BOOST_TEST(!Verdict::Parse(R"({"move":"m1"})").has_value());
}
