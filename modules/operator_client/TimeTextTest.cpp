#include "operator_client/TimeText.h"

#include <boost/test/unit_test.hpp>

#include <chrono>

using namespace fireflytrail;
using namespace fireflytrail::operator_client;

namespace {

const core::WallTimePoint kNow{ std::chrono::seconds(1'796'378'000) };

} // namespace

// Guards against scheduling a move for another time than the operator entered.
BOOST_AUTO_TEST_CASE(ParsesBothForms)
{
  BOOST_TEST((ParseTime("+90s", kNow) == kNow + std::chrono::seconds(90)));
  BOOST_TEST((ParseTime("+30m", kNow) == kNow + std::chrono::minutes(30)));
  BOOST_TEST((ParseTime("+2h", kNow) == kNow + std::chrono::hours(2)));
  const auto leapDay = ParseTime("2028-02-29T23:59:58Z", kNow);
  BOOST_REQUIRE(leapDay.has_value());
  BOOST_TEST(leapDay->time_since_epoch().count() ==
             core::WallTimePoint(std::chrono::seconds(1'835'481'598))
               .time_since_epoch()
               .count());
  BOOST_TEST(FormatTime(*leapDay) == "2028-02-29T23:59:58Z");
}

// Guards against parsing an invalid time as some other time.
BOOST_AUTO_TEST_CASE(RefusesEverythingElse)
{
  for (const char* text : { "",
                            "+",
                            "+s",
                            "+-5s",
                            "+5",
                            "+5d",
                            "+999999999999999999s",
                            "+2000000000h",
                            "5m",
                            "tomorrow",
                            "2026-12-04",
                            "2026-12-04T10:30:00",
                            "2026-12-04T10:30:00+",
                            "2026-12-04 10:30:00Z",
                            "2026-02-30T10:30:00Z",
                            "2026-13-01T10:30:00Z",
                            "2026-12-04T24:00:00Z",
                            "2026-12-04T10:60:00Z",
                            "2026-12-04T-1:30:00Z" }) {
    BOOST_TEST(!ParseTime(text, kNow).has_value(), text);
  }
}
