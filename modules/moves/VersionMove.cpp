#include "moves/VersionMove.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <cassert>
#include <chrono>
#include <utility>

namespace fireflytrail::moves {

namespace {

/**
 * A daemon that joins late waits this long for the others' evidence before it
 * considers the evidence insufficient; a record reaches every daemon in a few
 * seconds.
 */
constexpr std::chrono::seconds kEvidencePropagationTime{ 10 };

/**
 * An evaluation up to this long after the planned start of the ramp still
 * counts as on time.
 */
constexpr std::chrono::seconds kMaxEvaluationDelay{ 1 };

} // namespace

VersionMove::VersionMove(configuration::Move aMove,
                         const configuration::OperatorText& aText,
                         std::string aDaemon,
                         Hooks aHooks)
  : move(std::move(aMove))
  , settings(aText.moves)
  , policy(MovePolicy::For(aText.primaryCriterion))
  , daemon(std::move(aDaemon))
  , hooks(std::move(aHooks))
  , schedule(this->move.requestTime, this->move.setTime, this->policy)
  , judge(aText.moves,
          this->policy,
          aText.services.at(this->move.service).calls.size())
  , machine(statechart::Chart::Embedded("version_move"))
  , rampFromShare(aText.moves.firstShare)
{
  assert(this->move.kind == configuration::MoveKind::Version);
  assert(this->hooks.now);
  ApplyRecord(this->move.state);
}

void
VersionMove::OnRecordsExchanged()
{
  if (!this->recordsExchangedAt) {
    this->recordsExchangedAt = this->hooks.now();
  }
}

void
VersionMove::ApplyRecord(configuration::MoveState aState)
{
  switch (aState) {
    case configuration::MoveState::Running:
      break;
    case configuration::MoveState::Done:
      if (this->machine.Is("first_share") || this->machine.Is("ramping")) {
        this->machine.Resume("watched");
      }
      break;
    case configuration::MoveState::TakenBack:
      this->machine.Resume("taken_back");
      break;
    case configuration::MoveState::Cancelled:
      this->machine.Handle("cancelled");
      break;
  }
}

void
VersionMove::ApplyVerdict(const Verdict& aVerdict)
{
  assert(aVerdict.moveId == this->move.id);
  this->machine.Resume("taken_back");
  if (!this->verdict) {
    this->verdict = aVerdict;
  }
}

void
VersionMove::Evaluate(const Evidence& aEvidence)
{
  const bool isJudged = this->machine.Is("first_share") ||
                        this->machine.Is("ramping") ||
                        this->machine.Is("watched");
  if (!isJudged || !this->recordsExchangedAt) {
    return;
  }
  const core::WallTimePoint now = this->hooks.now();
  this->judgement = this->judge.Judge(aEvidence);
  if (this->judgement.isBad) {
    TakeBack("found_bad", this->judgement.reason);
    return;
  }
  if (this->machine.Is("first_share")) {
    if (this->judgement.isEvidenceSufficient &&
        now >= this->schedule.RampStart()) {
      // Daemons that had sufficient evidence in time ramp from the planned
      // start, so that their shares agree.
      const bool isInTime =
        now < this->schedule.RampStart() + kMaxEvaluationDelay;
      this->rampFrom = isInTime ? this->schedule.RampStart() : now;
      this->machine.Handle("evidence_suffices");
    } else {
      ApplyThinEvidenceSetting(now);
    }
  } else if (this->machine.Is("ramping")) {
    ContinueRamp(now);
  } else if (now >= this->schedule.MonitoringEnd()) {
    this->machine.Handle("watch_finished");
  }
}

double
VersionMove::Share() const
{
  if (!this->recordsExchangedAt) {
    return 0;
  }
  if (this->machine.Is("first_share")) {
    return this->settings.firstShare;
  }
  if (this->machine.Is("ramping")) {
    return this->schedule.ShareAt(
      this->hooks.now(), this->rampFrom, this->rampFromShare);
  }
  return this->machine.Is("watched") || this->machine.Is("kept") ? 1 : 0;
}

std::optional<std::size_t>
VersionMove::Window() const
{
  return this->schedule.WindowAt(this->hooks.now());
}

bool
VersionMove::IsSuspicious() const
{
  return this->judgement.isSuspicious;
}

const std::string&
VersionMove::State() const
{
  return this->machine.State();
}

const std::optional<Verdict>&
VersionMove::TakeBackVerdict() const
{
  return this->verdict;
}

std::string
VersionMove::Describe() const
{
  std::string text =
    fmt::format("{}: service {} from {} to {}: {}, share {:.3g}",
                this->move.id,
                this->move.service,
                this->move.fromVersion,
                this->move.toVersion,
                State(),
                Share());
  if (this->verdict) {
    text += "; " + this->verdict->reason;
  } else if (!this->judgement.routesLackingEvidence.empty()) {
    text += fmt::format("; {}",
                        fmt::join(this->judgement.routesLackingEvidence, ", "));
  }
  return text;
}

void
VersionMove::TakeBack(std::string_view aEvent, std::string aReason)
{
  if (!this->machine.Handle(aEvent)) {
    return;
  }
  this->verdict = Verdict{
    this->move.id, this->hooks.now(), this->daemon, std::move(aReason)
  };
  if (this->hooks.publishVerdict) {
    this->hooks.publishVerdict(*this->verdict);
  }
}

void
VersionMove::ApplyThinEvidenceSetting(core::WallTimePoint aNow)
{
  if (aNow < *this->recordsExchangedAt + kEvidencePropagationTime) {
    return;
  }
  if (this->settings.thinEvidence ==
      configuration::ThinEvidenceAction::Finish) {
    if (aNow >= this->schedule.LatestRampStart()) {
      this->rampFrom = aNow;
      this->machine.Handle("thin_evidence_finish");
    }
    return;
  }
  if (aNow >= this->move.setTime) {
    TakeBack(
      "thin_evidence_take_back",
      fmt::format(
        "thin evidence at the set time: {}",
        this->judgement.routesLackingEvidence.empty()
          ? std::string("no call was counted")
          : fmt::format(
              "{}", fmt::join(this->judgement.routesLackingEvidence, ", "))));
  }
}

void
VersionMove::ContinueRamp(core::WallTimePoint aNow)
{
  if (this->policy.holdsOnSuspicion && this->judgement.isSuspicious &&
      aNow < this->schedule.LatestRampStart()) {
    // Resumes from this share once the evidence no longer looks bad, or early
    // enough to finish by the set time.
    this->rampFromShare = this->isHolding ? this->rampFromShare : Share();
    this->rampFrom = aNow;
    this->isHolding = true;
    return;
  }
  this->isHolding = false;
  if (Share() >= 1) {
    this->machine.Handle("share_complete");
    if (this->hooks.reportDone) {
      this->hooks.reportDone();
    }
  }
}

} // namespace fireflytrail::moves
