#include "proxy/RetryBudgets.h"

#include <boost/test/unit_test.hpp>

using namespace fireflytrail;
using namespace std::chrono_literals;

// Guards against retries beyond the budget after the settings were changed: new
// settings used to come with new, uncharged budgets.
BOOST_AUTO_TEST_CASE(ANewAllowanceKeepsWhatWasCharged)
{
  core::TimePoint time{ 1h };
  proxy::RetryBudgets budgets(
    [&time] { return time; },
    { .firstAttemptsPerRetry = 10, .freeRetries = 2 });
  calls::RetryBudget& budget = budgets.Of("s");
  BOOST_TEST(budget.TryCharge());
  BOOST_TEST(budget.TryCharge());
  BOOST_TEST(!budget.TryCharge());
  budgets.SetAllowance({ .firstAttemptsPerRetry = 10, .freeRetries = 3 });
  BOOST_TEST(&budgets.Of("s") == &budget);
  BOOST_TEST(budget.TryCharge());
  BOOST_TEST(!budget.TryCharge());
  BOOST_TEST(budgets.Of("t").TryCharge());
}
