#include "routing/LoadReport.h"

#include <boost/test/unit_test.hpp>

using namespace fireflytrail::routing;

// Guards against a header of the documented form being ignored.
BOOST_AUTO_TEST_CASE(LoadReportParsesDocumentedForm)
{
  const auto report =
    LoadReport::Parse("in_flight=2, slots=4, start=5f3a, state=ready");
  BOOST_REQUIRE(report.has_value());
  BOOST_TEST(report->inFlight == 2U);
  BOOST_TEST(report->slots == 4U);
  BOOST_TEST(report->start == 0x5f3aU);
  BOOST_TEST((report->state == ReportedState::Ready));
  BOOST_TEST((LoadReport::Parse(report->Format()) == report));
}

// Guards against rejecting the report of a newer server that sends additional
// fields.
BOOST_AUTO_TEST_CASE(LoadReportIgnoresUnknownFieldsAndOrder)
{
  const auto report =
    LoadReport::Parse("state=draining,start=1,queue=x,slots=4 , in_flight=0");
  BOOST_REQUIRE(report.has_value());
  BOOST_TEST((report->state == ReportedState::Draining));
}

// Guards against accepting a truncated or corrupt header, which could make a
// busy server look idle.
BOOST_AUTO_TEST_CASE(LoadReportRejectsOtherText)
{
  for (const std::string_view text :
       { "",
         ",",
         "in_flight",
         "in_flight=2",
         "in_flight=2, slots=4, start=5f3a",
         "in_flight=-1, slots=4, start=5f3a, state=ready",
         "in_flight=2x, slots=4, start=5f3a, state=ready",
         "in_flight=, slots=4, start=5f3a, state=ready",
         "in_flight=99999999999, slots=4, start=5f3a, state=ready",
         "in_flight=2, slots=4, start=zz, state=ready",
         "in_flight=2, slots=4, start=5f3a, state=fine",
         "in_flight=2, in_flight=0, slots=4, start=5f3a, state=ready" }) {
    BOOST_TEST(!LoadReport::Parse(text).has_value(), text);
  }
}
