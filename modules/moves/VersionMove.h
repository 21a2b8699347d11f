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
 * same record, clock and merged evidence, so no daemon leads. The chart is
 * `version_move`; taken back is final.
 */
class VersionMove
{
public:
  /** Connections to the outside. Functions may be empty. */
  struct Hooks
  {
    core::WallNowFunction now;
    /** Spreads a verdict that this daemon reached. Called at most once. */
    std::function<void(const Verdict&)> publishVerdict;
    /** Reports that all calls go to the new version. Called at most once. */
    std::function<void()> reportDone;
  };

  /**
   * Joins a move. `aMove` must be a version move of a service of `aText`, and
   * `aHooks.now` must not be empty. `aDaemon` names this daemon in verdicts.
   */
  VersionMove(configuration::Move aMove,
              const configuration::OperatorText& aText,
              std::string aDaemon,
              Hooks aHooks);

  VersionMove(const VersionMove&) = delete;
  VersionMove& operator=(const VersionMove&) = delete;

  /**
   * Says that this daemon has exchanged records with a peer, or that it has
   * none. Before that the new version gets no calls, since this daemon may not
   * have heard yet of a verdict. Not thread-safe.
   */
  void ConfirmContact();

  /** Takes over the move's state in the store. A state that this daemon has
   * passed already is ignored. Not thread-safe. */
  void ApplyRecord(configuration::MoveState aState);

  /** Takes over a verdict of another daemon. Its move must be this one. Not
   * thread-safe. */
  void ApplyVerdict(const Verdict& aVerdict);

  /** Judges the evidence and moves on; to be called several times a second.
   * Not thread-safe. */
  void Evaluate(const Evidence& aEvidence);

  /** Returns the share of calls for the new version now. Not thread-safe. */
  double Share() const;

  /** Returns the window to count calls in, none after the end. Not
   * thread-safe. */
  std::optional<std::size_t> Window() const;

  /**
   * Returns whether a route looked bad at the last evaluation. The daemon then
   * pushes its evidence like an urgent record, so that no verdict waits for the
   * regular exchanges. Not thread-safe.
   */
  bool IsSuspicious() const;

  /** Returns the name of the chart's state. Not thread-safe. */
  const std::string& State() const;

  /** Returns the verdict, if the move is taken back by one. Not thread-safe. */
  const std::optional<Verdict>& TakenBackBy() const;

  /** Returns figures for operators: state, share and what is missing. Not
   * thread-safe. */
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
  std::optional<core::WallTimePoint> contactAt;
  /** Time and share from which the ramp goes on. */
  core::WallTimePoint rampFrom;
  double rampFromShare;
  bool isHolding = false;
  VersionJudge::Judgement judgement;
  std::optional<Verdict> verdict;
};

} // namespace fireflytrail::moves
