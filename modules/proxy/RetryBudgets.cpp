#include "proxy/RetryBudgets.h"

#include <utility>

namespace fireflytrail::proxy {

RetryBudgets::RetryBudgets(core::NowFunction aNow,
                           calls::RetryBudget::Allowance aAllowance)
  : now(std::move(aNow))
  , allowance(aAllowance)
{
}

calls::RetryBudget&
RetryBudgets::Of(const std::string& aService)
{
  auto& budget = this->budgets[aService];
  if (!budget) {
    budget = std::make_unique<calls::RetryBudget>(this->now, this->allowance);
  }
  return *budget;
}

void
RetryBudgets::SetAllowance(calls::RetryBudget::Allowance aAllowance)
{
  this->allowance = aAllowance;
  for (const auto& [service, budget] : this->budgets) {
    budget->SetAllowance(aAllowance);
  }
}

} // namespace fireflytrail::proxy
