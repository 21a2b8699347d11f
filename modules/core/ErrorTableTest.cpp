#include "core/ErrorTable.h"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace fireflytrail::core;

// Guards against running a call twice that is not repeatable: a call with an
// unknown outcome may be retried only if it is repeatable.
BOOST_AUTO_TEST_CASE(GatewayNeverRetriesUnknownOutcomeUnconditionally)
{
  for (const ErrorRow& row : ErrorTable::Rows()) {
    if (row.outcome == CallOutcome::Unknown) {
      BOOST_TEST((row.gatewayMayRetry != RetryRule::Always), row.name);
    }
  }
}

// Guards against two kinds that callers cannot distinguish.
BOOST_AUTO_TEST_CASE(NamesAreUnique)
{
  std::set<std::string_view> names;
  for (const ErrorRow& row : ErrorTable::Rows()) {
    BOOST_TEST(names.insert(row.name).second, row.name);
  }
}

// Guards against an error that is answered with a success status.
BOOST_AUTO_TEST_CASE(EveryErrorHasAnErrorStatus)
{
  for (const ErrorRow& row : ErrorTable::Rows()) {
    if (row.kind != ErrorKind::None) {
      BOOST_TEST(row.status >= 400U, row.name);
    }
  }
}
