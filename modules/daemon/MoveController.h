#pragma once

#include "configuration/DesiredState.h"
#include "configuration/OperatorText.h"
#include "core/DaemonId.h"
#include "core/Hooks.h"
#include "daemon/AttemptRecord.h"
#include "moves/DomainMove.h"
#include "moves/Evidence.h"
#include "moves/EvidencePublisher.h"
#include "moves/EvidenceRecorder.h"
#include "moves/VersionMove.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fireflytrail::gossip {
class GossipNode;
struct Record;
}

namespace fireflytrail::daemon {

/** What a `MoveController` needs. All functions must be set. */
struct MoveHooks
{
  core::NowFunction now;
  core::WallNowFunction wallNow;
  /** Called when a share has changed and the routing table must be rebuilt. */
  std::function<void()> sharesChanged;
  /** Writes a move's state and reason to the store; may fail. */
  std::function<
    void(const std::string&, configuration::MoveState, const std::string&)>
    writeState;
  /** Reports the end of a move and its reason. Called when this daemon reaches
   * or receives the result. */
  std::function<void(const std::string& aId, const std::string& aText)> report;
};

/**
 * Runs all moves on this daemon: computes the traffic shares, collects and
 * publishes evidence and verdicts, and writes the end of moves to the store.
 * Every daemon computes the same shares from the desired state, the clock and
 * the merged evidence, so no leader is needed. Use on the control thread only,
 * except `IsRecordingAttempts`.
 */
class MoveController
{
public:
  /** Time between two calls of `Tick`. */
  static constexpr std::chrono::milliseconds kTickInterval{ 200 };

  /** `aNode` must outlive the controller. */
  MoveController(gossip::GossipNode& aNode, MoveHooks aHooks);
  ~MoveController();
  MoveController(const MoveController&) = delete;
  MoveController& operator=(const MoveController&) = delete;

  /** Applies a newer desired state. */
  void SetDesired(std::uint64_t aVersion,
                  const configuration::DesiredState& aState,
                  const configuration::OperatorText& aText);

  /** Evaluates the running moves. Call every `kTickInterval`. */
  void Tick();

  /** Applies an evidence or verdict record of another daemon. Records with
   * other keys are ignored. */
  void ReceiveRecord(const core::DaemonId& aOrigin,
                     const gossip::Record& aRecord);

  /** Whether attempts count now, because a version move collects evidence.
   * Thread-safe. */
  bool IsRecordingAttempts() const { return this->isRecordingAttempts.load(); }

  /** Counts an attempt as evidence. Its duration counts only if it is no
   * failure and `aIsWarm` is set, that is, if its server is not cold. */
  void Record(const AttemptRecord& aRecord, bool aIsWarm);

  /** Returns the share of a service's calls that each version gets. */
  std::map<std::string, double> VersionSharesOf(
    const configuration::ServiceSettings& aService) const;

  /** Returns the share of its normal traffic that a failure domain gets; 1 if
   * the domain is unknown. */
  double DomainShareOf(const std::string& aFailureDomain);

  /** Returns a line of figures for each version move that this daemon has seen
   * running or done and for each running domain move, by move id. */
  std::map<std::string, std::string> Descriptions() const;

private:
  /** A version move that this daemon has seen running or done. It is kept while
   * the desired state lists it. */
  struct TrackedVersionMove
  {
    /** The move as the desired state contained it first. */
    configuration::Move record;
    std::unique_ptr<moves::VersionMove> move;
    moves::Evidence evidence;
    moves::EvidenceRecorder recorder;
    std::unique_ptr<moves::EvidencePublisher> publisher;
    double lastShare = -1;
  };

  /** Final state of a move that may not be in the store yet. */
  struct PendingState
  {
    configuration::MoveState state;
    std::string reason;
    core::TimePoint nextWriteAt;
  };

  void StartVersionMove(const configuration::Move& aMove,
                        const configuration::OperatorText& aText);
  void EvaluateVersionMove(TrackedVersionMove& aTracked);
  void CheckDomainMoves();
  void OnVerdict(const moves::Verdict& aVerdict, bool aIsOwn);
  void AddPendingState(const std::string& aId,
                       configuration::MoveState aState,
                       std::string aReason);
  void WritePendingStates();
  core::TimePoint::duration WriteDelay() const;
  /** Returns a line that says which daemons have applied this version of the
   * desired state. Sets `aIsDone` to whether at least one daemon and all that
   * are not dead have applied it. */
  std::string DomainConfirmation(std::uint64_t aVersion, bool& aIsDone) const;

  gossip::GossipNode& node;
  MoveHooks hooks;
  configuration::DesiredState desired;
  /** By move id. */
  std::map<std::string, std::unique_ptr<TrackedVersionMove>> versionMoves;
  /** By failure domain. */
  std::map<std::string, std::unique_ptr<moves::DomainMove>> domainMoves;
  /** Version of the desired state in which a domain move was first seen, by
   * move id. */
  std::map<std::string, std::uint64_t> domainMoveDesiredVersions;
  /** By move id. */
  std::map<std::string, moves::Verdict> verdicts;
  /** By move id. */
  std::map<std::string, PendingState> pendingStates;
  std::atomic<bool> isRecordingAttempts{ false };
  bool hasDesiredState = false;
};

} // namespace fireflytrail::daemon
