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
  /** Asks for a new routing table, since a share has changed. */
  std::function<void()> sharesChanged;
  /** Writes a move's state and reason to the store; may fail. */
  std::function<
    void(const std::string&, configuration::MoveState, const std::string&)>
    writeState;
  /** Tells an end of a move that this daemon has learned of. */
  std::function<void(const std::string& aId, const std::string& aText)> report;
};

/**
 * This daemon's part in all moves. Every daemon computes the shares from the
 * same desired state, clock and merged evidence, so that no daemon leads.
 * Belongs to the control thread, but for `IsRecordingAttempts`.
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

  /** Takes over a newer desired state. */
  void SetDesired(std::uint64_t aVersion,
                  const configuration::DesiredState& aState,
                  const configuration::OperatorText& aText);

  /** Evaluates the running moves. Call every `kTickInterval`. */
  void Tick();

  /** Takes a record of another daemon; other keys are ignored. */
  void ReceiveRecord(const core::DaemonId& aOrigin,
                     const gossip::Record& aRecord);

  /** Whether attempts are counted now. Thread-safe. */
  bool IsRecordingAttempts() const { return this->isRecordingAttempts.load(); }

  /** Counts an attempt. `aIsWarm` tells that its server is not cold. */
  void Record(const AttemptRecord& aRecord, bool aIsWarm);

  /** Returns the shares of a service's versions. */
  std::map<std::string, double> VersionSharesOf(
    const configuration::ServiceSettings& aService) const;

  /** Returns the share of a failure domain. */
  double DomainShareOf(const std::string& aFailureDomain);

  /** Returns one line a running move: its id and figures. */
  std::map<std::string, std::string> Descriptions() const;

private:
  struct RunningVersionMove
  {
    configuration::Move record;
    std::unique_ptr<moves::VersionMove> move;
    moves::Evidence evidence;
    moves::EvidenceRecorder recorder;
    std::unique_ptr<moves::EvidencePublisher> publisher;
    double lastShare = -1;
  };

  /** An end of a move that may not be in the store yet. */
  struct PendingState
  {
    configuration::MoveState state;
    std::string reason;
    core::TimePoint nextWriteAt;
  };

  void StartVersionMove(const configuration::Move& aMove,
                        const configuration::OperatorText& aText);
  void EvaluateVersionMove(RunningVersionMove& aRunning);
  void CheckDomainMoves();
  void OnVerdict(const moves::Verdict& aVerdict, bool aIsOwn);
  void AddPendingState(const std::string& aId,
                       configuration::MoveState aState,
                       std::string aReason);
  void WritePendingStates();
  core::TimePoint::duration WriteDelay() const;
  std::string DomainConfirmation(std::uint64_t aVersion, bool& aIsDone) const;

  gossip::GossipNode& node;
  MoveHooks hooks;
  configuration::DesiredState desired;
  std::map<std::string, std::unique_ptr<RunningVersionMove>> versionMoves;
  std::map<std::string, std::unique_ptr<moves::DomainMove>> domainMoves;
  /** Version of the desired state in which a domain move was first seen. */
  std::map<std::string, std::uint64_t> domainMoveDesiredVersions;
  /** By move id. */
  std::map<std::string, moves::Verdict> verdicts;
  std::map<std::string, PendingState> pendingStates;
  std::atomic<bool> isRecordingAttempts{ false };
  bool hasDesiredState = false;
};

} // namespace fireflytrail::daemon
