#pragma once

#include "configuration/Move.h"
#include "configuration/OperatorText.h"
#include "core/Hooks.h"
#include "moves/Evidence.h"
#include "moves/MoveSchedule.h"
#include "moves/Verdict.h"
#include "moves/VersionJudge.h"
#include "statechart/Machine.h"

#include <functional>
#include <optional>
#include <string>

namespace fireflytrail::moves {

/**
 * One daemon's part in a version move. Every daemon computes the share from the
 * same move record, clock and merged evidence, so that no leader is needed.
 * Follows the state chart `version_move`; its state `taken_back` is final.
 */
class VersionMove
{
public:
  /** Clock and outputs. Outputs may be empty. */
  struct Hooks
  {
    core::WallNowFunction now;
    /** Publishes a verdict that this daemon reached. Called at most once. */
    std::function<void(const Verdict&)> publishVerdict;
    /** Reports that all calls go to the new version. Called at most once. */
    std::function<void()> reportDone;
  };

  /**
   * Joins a move. `aMove` must be a version move of a service of `aText`, and
   * `aHooks.now` must not be empty. `aDaemon` is the name of this daemon, used
   * in verdicts.
   */
  VersionMove(configuration::Move aMove,
              const configuration::OperatorText& aText,
              std::string aDaemon,
              Hooks aHooks);

  VersionMove(const VersionMove&) = delete;
  VersionMove& operator=(const VersionMove&) = delete;

  /**
   * Reports that this daemon has exchanged records with a peer or has no peers.
   * Before that, the new version gets no calls, since this daemon may not have
   * received a verdict yet. Not thread-safe.
   */
  void OnRecordsExchanged();

  /**
   * Applies the state that the store holds for this move. A state that this
   * daemon has already passed is ignored. Not thread-safe.
   */
  void ApplyRecord(configuration::MoveState aState);

  /**
   * Applies a verdict of another daemon, which must be for this move. Not
   * thread-safe.
   */
  void ApplyVerdict(const Verdict& aVerdict);

  /**
   * Judges the evidence and advances the move's state; to be called several
   * times a second. Not thread-safe.
   */
  void Evaluate(const Evidence& aEvidence);

  /**
   * Returns the current share of calls for the new version. Not thread-safe.
   */
  double Share() const;

  /**
   * Returns the window in which calls are counted now, or nothing after the
   * last one. Not thread-safe.
   */
  std::optional<std::size_t> Window() const;

  /**
   * Returns whether a route looked bad at the last evaluation. The daemon then
   * pushes its evidence like an urgent record, so that a verdict does not have
   * to wait for the regular exchanges. Not thread-safe.
   */
  bool IsSuspicious() const;

  /** Returns the name of the current chart state. Not thread-safe. */
  const std::string& State() const;

  /**
   * Returns the verdict by which the move was taken back, if any. Not
   * thread-safe.
   */
  const std::optional<Verdict>& TakeBackVerdict() const;

  /**
   * Returns a description for operators: state, share, and the verdict's reason
   * or the routes that lack evidence. Not thread-safe.
   */
  std::string Describe() const;

private:
  void TakeBack(std::string_view aEvent, std::string aReason);
  void ApplyThinEvidenceSetting(core::WallTimePoint aNow);
  void ContinueRamp(core::WallTimePoint aNow);

  configuration::Move move;
  configuration::MovesSettings settings;
  MovePolicy policy;
  std::string daemon;
  Hooks hooks;
  MoveSchedule schedule;
  VersionJudge judge;
  statechart::Machine machine;
  std::optional<core::WallTimePoint> recordsExchangedAt;
  /** Time and share at which the ramp starts or resumes. */
  core::WallTimePoint rampFrom;
  double rampFromShare;
  bool isHolding = false;
  VersionJudge::Judgement judgement;
  std::optional<Verdict> verdict;
};

} // namespace fireflytrail::moves
