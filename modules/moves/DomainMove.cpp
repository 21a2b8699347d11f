#include "moves/DomainMove.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace fireflytrail::moves {

namespace {

/** Share at which the ramp of a returning domain starts. */
constexpr double kFirstShare = 0.1;

} // namespace

DomainMove::DomainMove(std::string aFailureDomain,
                       core::NowFunction aNow,
                       std::chrono::milliseconds aRampTime)
  : failureDomain(std::move(aFailureDomain))
  , now(std::move(aNow))
  , rampTime(aRampTime)
  , machine(statechart::Chart::Embedded("move"),
            [this](std::string_view aAction) {
              if (aAction == "start_ramp") {
                this->rampFrom = this->now();
              }
            })
{
  assert(this->now);
  assert(this->rampTime.count() > 0);
}

void
DomainMove::Apply(bool aIsOut)
{
  this->machine.Handle(aIsOut ? "ask_out" : "ask_in");
}

void
DomainMove::Start(bool aIsOut)
{
  this->machine.Resume(aIsOut ? "out" : "in");
}

double
DomainMove::Share()
{
  if (this->machine.Is("returning")) {
    const double progress =
      std::chrono::duration<double>(this->now() - this->rampFrom) /
      std::chrono::duration<double>(this->rampTime);
    if (progress < 1) {
      return kFirstShare + (1 - kFirstShare) * std::max(0.0, progress);
    }
    this->machine.Handle("ramp_finished");
  }
  return this->machine.Is("out") ? 0 : 1;
}

const std::string&
DomainMove::State() const
{
  return this->machine.State();
}

const std::string&
DomainMove::FailureDomain() const
{
  return this->failureDomain;
}

} // namespace fireflytrail::moves
