#include "statechart/Machine.h"

#include <cassert>
#include <utility>

namespace fireflytrail::statechart {

Machine::Machine(const Chart& aChart, ActionFunction aAction)
  : chart(&aChart)
  , action(std::move(aAction))
  , state(aChart.Initial())
{
}

bool
Machine::Handle(std::string_view aEvent)
{
  const auto event = this->chart->EventIndex(aEvent);
  assert(event);
  const auto& transition = this->chart->Find(this->state, *event);
  if (!transition) {
    return false;
  }
  this->state = transition->target;
  if (transition->action && this->action) {
    this->action(this->chart->Actions()[*transition->action]);
  }
  return true;
}

const std::string&
Machine::State() const
{
  return this->chart->States()[this->state];
}

bool
Machine::Is(std::string_view aState) const
{
  assert(this->chart->StateIndex(aState));
  return State() == aState;
}

void
Machine::Resume(std::string_view aState)
{
  const auto found = this->chart->StateIndex(aState);
  assert(found);
  this->state = *found;
}

} // namespace fireflytrail::statechart
