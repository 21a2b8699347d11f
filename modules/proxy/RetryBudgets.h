#pragma once

#include "calls/RetryBudget.h"
#include "core/Hooks.h"

#include <map>
#include <memory>
#include <string>

namespace fireflytrail::proxy {

/**
 * The retry budgets of all services, with one allowance. For use on the
 * daemon's thread only.
 */
class RetryBudgets
{
public:
  RetryBudgets(core::NowFunction aNow,
               calls::RetryBudget::Allowance aAllowance);

  /** Returns the budget of a service, which lives as long as this object. */
  calls::RetryBudget& Of(const std::string& aService);

  /**
   * Changes the allowance. Retries that were charged still count: a new
   * allowance is no reason for more retries than it allows.
   */
  void SetAllowance(calls::RetryBudget::Allowance aAllowance);

private:
  core::NowFunction now;
  calls::RetryBudget::Allowance allowance;
  std::map<std::string, std::unique_ptr<calls::RetryBudget>> budgets;
};

} // namespace fireflytrail::proxy
