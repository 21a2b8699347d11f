#include "daemon/OrganisationMetrics.h"

#include "daemon/Metrics.h"

#include <boost/test/unit_test.hpp>

using namespace fireflytrail;
using namespace fireflytrail::daemon;
using core::ErrorKind;

namespace {

bool
HasLine(const Metrics& aMetrics, const std::string& aLine)
{
  return aMetrics.Text().find(aLine + "\n") != std::string::npos;
}

} // namespace

// Guards against metrics that grow with the number of organisations, and
// against losing the requests of those without series of their own.
BOOST_AUTO_TEST_CASE(NamesAreBounded)
{
  Metrics metrics;
  OrganisationMetrics organisations(metrics);
  organisations.Record("", ErrorKind::None);
  for (int index = 0; index < 300; ++index) {
    organisations.Record("o" + std::to_string(index), ErrorKind::Overloaded);
  }
  organisations.Record("o0", ErrorKind::None);
  const std::string requests = "fireflytrail_organisation_requests_total";
  const std::string errors = "fireflytrail_organisation_errors_total";
  BOOST_TEST(HasLine(metrics, requests + "{organisation=\"o0\"} 2"));
  BOOST_TEST(HasLine(metrics, errors + "{organisation=\"o0\"} 1"));
  BOOST_TEST(HasLine(metrics, requests + "{organisation=\"other\"} 172"));
  BOOST_TEST(HasLine(metrics, errors + "{organisation=\"other\"} 172"));
  BOOST_TEST(metrics.Text().find("o128") == std::string::npos);
}
