#include "daemon/MoveController.h"

#include "gossip/GossipNode.h"
#include "gossip/WatcherElection.h"
#include "moves/MoveConfirmation.h"

#include <fmt/format.h>

#include <algorithm>
#include <cassert>
#include <set>
#include <utility>

namespace fireflytrail::daemon {

using configuration::Move;
using configuration::MoveKind;
using configuration::MoveState;
using moves::MoveConfirmation;
using namespace std::chrono_literals;

namespace {

// Record keys end with the service instead of the move: only one version move
// of a service runs at a time, and an origin can have only a few record keys.
constexpr std::string_view kEvidencePrefix = "evidence.";
constexpr std::string_view kVerdictPrefix = "verdict.";

// The value of an evidence record starts with the move's id and this character.
constexpr char kMoveIdTerminator = '\n';

// The daemons that watch the store write the end of a move one after the other,
// `kWriteStagger` apart. All other daemons follow together, one such time after
// the last watcher. Each repeats its write every `kWriteRetryInterval` until
// the desired state contains the end of the move. Repeated writes are harmless,
// because they are conditional on the version of the object.
constexpr auto kWriteStagger = 2s;
constexpr auto kWriteRetryInterval = 10s;

moves::ComparedVersion
SideOf(const Move& aMove, const std::string& aVersion)
{
  return aVersion == aMove.toVersion ? moves::ComparedVersion::New
                                     : moves::ComparedVersion::Old;
}

} // namespace

MoveController::MoveController(gossip::GossipNode& aNode, MoveHooks aHooks)
  : node(aNode)
  , hooks(std::move(aHooks))
{
  assert(this->hooks.now && this->hooks.wallNow && this->hooks.sharesChanged);
  assert(this->hooks.writeState && this->hooks.report);
}

MoveController::~MoveController() = default;

void
MoveController::SetDesired(std::uint64_t aVersion,
                           const configuration::DesiredState& aState,
                           const configuration::OperatorText& aText)
{
  this->desired = aState;
  for (const std::string& domain : aText.FailureDomains()) {
    auto& move = this->domainMoves[domain];
    const bool isNew = !move;
    if (isNew) {
      move = std::make_unique<moves::DomainMove>(domain, this->hooks.now);
    }
    if (isNew && !this->hasDesiredState) {
      move->Start(aState.IsDomainOut(domain));
    } else {
      move->Apply(aState.IsDomainOut(domain));
    }
  }
  this->hasDesiredState = true;
  std::set<std::string> current;
  for (const Move& move : aState.moves) {
    if (move.kind != MoveKind::Version) {
      this->domainMoveDesiredVersions.try_emplace(move.id, aVersion);
      continue;
    }
    const auto found = this->versionMoves.find(move.id);
    if (found == this->versionMoves.end()) {
      if (move.state != MoveState::Running && move.state != MoveState::Done) {
        continue;
      }
      this->StartVersionMove(move, aText);
    }
    this->versionMoves.at(move.id)->move->ApplyRecord(move.state);
    current.insert(move.id);
  }
  std::erase_if(this->versionMoves, [&](const auto& aItem) {
    return !current.contains(aItem.first);
  });
  std::erase_if(this->pendingStates, [&](const auto& aItem) {
    const Move* move = aState.FindMove(aItem.first);
    return move == nullptr || move->state == aItem.second.state ||
           move->state == MoveState::TakenBack;
  });
}

void
MoveController::StartVersionMove(const Move& aMove,
                                 const configuration::OperatorText& aText)
{
  auto tracked = std::make_unique<TrackedVersionMove>();
  tracked->record = aMove;
  moves::VersionMove::Hooks moveHooks;
  moveHooks.now = this->hooks.wallNow;
  moveHooks.publishVerdict = [this](const moves::Verdict& aVerdict) {
    this->OnVerdict(aVerdict, true);
  };
  moveHooks.reportDone = [this, id = aMove.id] {
    this->AddPendingState(
      id, MoveState::Done, this->versionMoves.at(id)->move->Describe());
  };
  tracked->move = std::make_unique<moves::VersionMove>(
    aMove, aText, this->node.State().Self().name, std::move(moveHooks));
  const std::string key = fmt::format("{}{}", kEvidencePrefix, aMove.service);
  const std::string valuePrefix = aMove.id + kMoveIdTerminator;
  tracked->publisher =
    std::make_unique<moves::EvidencePublisher>(moves::EvidencePublisher::Hooks{
      .now = this->hooks.now,
      .publishPaced =
        [this, key, valuePrefix](std::string_view aValue) {
          this->node.Exchanger().PublishPaced(
            key, valuePrefix + std::string(aValue));
        },
      .publishUrgent =
        [this, key, valuePrefix](std::string_view aValue) {
          this->node.Exchanger().PublishUrgent(
            key, valuePrefix + std::string(aValue));
        } });
  const std::string id = aMove.id;
  this->versionMoves.emplace(id, std::move(tracked));
  // Records of other daemons about the move may have arrived before the desired
  // state that contains it.
  for (const auto& [name, origin] : this->node.State().Origins()) {
    for (const auto& [recordKey, record] : origin.records) {
      if (name != this->node.State().Self().name) {
        this->ReceiveRecord(origin.id, record);
      }
    }
  }
  if (const auto known = this->verdicts.find(id);
      known != this->verdicts.end()) {
    this->versionMoves.at(id)->move->ApplyVerdict(known->second);
  }
}

void
MoveController::Tick()
{
  bool isRecording = false;
  for (const auto& [id, tracked] : this->versionMoves) {
    this->EvaluateVersionMove(*tracked);
    isRecording = isRecording || tracked->move->Window().has_value();
  }
  this->isRecordingAttempts = isRecording;
  for (const auto& [name, domain] : this->domainMoves) {
    const bool wasReturning = domain->State() == "returning";
    // The call ends the ramp when its time is over.
    domain->Share();
    if (wasReturning) {
      this->hooks.sharesChanged();
    }
  }
  this->CheckDomainMoves();
  this->WritePendingStates();
}

void
MoveController::EvaluateVersionMove(TrackedVersionMove& aTracked)
{
  const bool isAlone = this->node.Members().Members().size() <= 1;
  if (isAlone || this->node.Exchanger().LastExchange()) {
    aTracked.move->OnRecordsExchanged();
  }
  const auto window = aTracked.move->Window();
  if (window) {
    const moves::EvidenceWindow current = aTracked.recorder.Window(*window);
    const moves::EvidenceWindow previous =
      aTracked.recorder.Window(*window > 0 ? *window - 1 : 0);
    const core::DaemonId& self = this->node.State().Self();
    aTracked.evidence.Merge(self, previous);
    aTracked.evidence.Merge(self, current);
    aTracked.publisher->Update(
      previous, current, aTracked.move->IsSuspicious());
  }
  aTracked.move->Evaluate(aTracked.evidence);
  const double share = aTracked.move->Share();
  if (share != aTracked.lastShare) {
    aTracked.lastShare = share;
    this->hooks.sharesChanged();
  }
}

void
MoveController::CheckDomainMoves()
{
  for (const Move& move : this->desired.moves) {
    const bool isRunningDomainMove =
      move.kind != MoveKind::Version && move.state == MoveState::Running;
    if (!isRunningDomainMove || this->pendingStates.contains(move.id)) {
      continue;
    }
    const auto domain = this->domainMoves.find(move.failureDomain);
    const std::string_view targetState =
      move.kind == MoveKind::DomainOut ? "out" : "in";
    if (domain == this->domainMoves.end() ||
        domain->second->State() != targetState) {
      continue;
    }
    bool isDone = false;
    std::string reason = this->DomainConfirmation(
      this->domainMoveDesiredVersions.at(move.id), isDone);
    if (isDone) {
      this->AddPendingState(move.id, MoveState::Done, std::move(reason));
    }
  }
}

std::string
MoveController::DomainConfirmation(std::uint64_t aVersion, bool& aIsDone) const
{
  std::vector<MoveConfirmation::Member> members;
  std::set<core::DaemonId> confirmed;
  for (const gossip::Member& member : this->node.Members().Members()) {
    const gossip::Origin* origin =
      this->node.State().FindOrigin(member.peer.name);
    const core::DaemonId id =
      origin != nullptr ? origin->id : core::DaemonId{ member.peer.name, 0 };
    auto reachability = MoveConfirmation::Reachability::Alive;
    if (member.state == gossip::MemberState::Suspect) {
      reachability = MoveConfirmation::Reachability::Suspect;
    } else if (member.state == gossip::MemberState::Dead) {
      reachability = MoveConfirmation::Reachability::Dead;
    }
    members.push_back({ id, reachability });
    const auto status = this->node.Desired().StatusOf(member.peer.name);
    if (status && status->appliedVersion >= aVersion) {
      confirmed.insert(id);
    }
  }
  const auto confirmation = MoveConfirmation::Of(members, confirmed);
  aIsDone = confirmation.isDone;
  return confirmation.ToString();
}

void
MoveController::ReceiveRecord(const core::DaemonId& aOrigin,
                              const gossip::Record& aRecord)
{
  if (aRecord.key.starts_with(kVerdictPrefix)) {
    if (const auto verdict = moves::Verdict::Parse(aRecord.value)) {
      this->OnVerdict(verdict.value(), false);
    }
    return;
  }
  if (!aRecord.key.starts_with(kEvidencePrefix)) {
    return;
  }
  const std::string_view value = aRecord.value;
  const std::size_t end = value.find(kMoveIdTerminator);
  if (end == std::string_view::npos) {
    return;
  }
  const auto found = this->versionMoves.find(std::string(value.substr(0, end)));
  const auto window = moves::EvidenceWindow::Parse(value.substr(end + 1));
  if (found != this->versionMoves.end() && window) {
    found->second->evidence.Merge(aOrigin, window.value());
  }
}

void
MoveController::OnVerdict(const moves::Verdict& aVerdict, bool aIsOwn)
{
  if (!this->verdicts.try_emplace(aVerdict.moveId, aVerdict).second) {
    return;
  }
  const auto found = this->versionMoves.find(aVerdict.moveId);
  if (found == this->versionMoves.end()) {
    return;
  }
  // Each daemon publishes a verdict that it receives, so that the verdict
  // survives the failure of the daemon that reached it.
  this->node.Exchanger().PublishUrgent(
    fmt::format("{}{}", kVerdictPrefix, found->second->record.service),
    aVerdict.Serialize());
  if (!aIsOwn) {
    found->second->move->ApplyVerdict(aVerdict);
  }
  this->hooks.sharesChanged();
  this->AddPendingState(aVerdict.moveId, MoveState::TakenBack, aVerdict.reason);
}

void
MoveController::AddPendingState(const std::string& aId,
                                MoveState aState,
                                std::string aReason)
{
  const Move* move = this->desired.FindMove(aId);
  if (move == nullptr || move->state == aState) {
    return;
  }
  this->hooks.report(aId, aReason);
  this->pendingStates.insert_or_assign(
    aId,
    PendingState{
      aState, std::move(aReason), this->hooks.now() + this->WriteDelay() });
}

void
MoveController::WritePendingStates()
{
  const core::TimePoint time = this->hooks.now();
  for (auto& [id, state] : this->pendingStates) {
    if (time >= state.nextWriteAt) {
      state.nextWriteAt = time + kWriteRetryInterval;
      this->hooks.writeState(id, state.state, state.reason);
    }
  }
}

core::TimePoint::duration
MoveController::WriteDelay() const
{
  const auto writers =
    gossip::WatcherElection::Watchers(this->node.Members().AliveNames());
  const auto found =
    std::find(writers.begin(), writers.end(), this->node.State().Self().name);
  return kWriteStagger * (found - writers.begin());
}

void
MoveController::Record(const AttemptRecord& aRecord, bool aIsWarm)
{
  for (const auto& [id, tracked] : this->versionMoves) {
    const Move& move = tracked->record;
    const bool isOfMove =
      move.service == aRecord.service && (aRecord.version == move.toVersion ||
                                          aRecord.version == move.fromVersion);
    const auto window = tracked->move->Window();
    if (!isOfMove || !window) {
      continue;
    }
    moves::EvidenceRecorder::Observation observation;
    observation.call = aRecord.call;
    observation.side = SideOf(move, aRecord.version);
    observation.failureDomain = aRecord.failureDomain;
    observation.isFailure = aRecord.isFailure;
    if (!aRecord.isFailure && aIsWarm) {
      observation.duration =
        std::chrono::duration_cast<std::chrono::microseconds>(aRecord.duration);
    }
    tracked->recorder.Record(*window, this->hooks.wallNow(), observation);
  }
}

std::map<std::string, double>
MoveController::VersionSharesOf(
  const configuration::ServiceSettings& aService) const
{
  for (const auto& [id, tracked] : this->versionMoves) {
    if (tracked->record.service == aService.name &&
        tracked->move->Window().has_value()) {
      const double share = tracked->move->Share();
      return { { tracked->record.fromVersion, 1 - share },
               { tracked->record.toVersion, share } };
    }
  }
  // A verdict takes effect before it is in the store.
  for (const auto& [id, tracked] : this->versionMoves) {
    if (tracked->record.service == aService.name &&
        tracked->move->TakeBackVerdict()) {
      return { { tracked->record.fromVersion, 1.0 } };
    }
  }
  return { { this->desired.VersionInForce(aService.name, aService.version),
             1.0 } };
}

double
MoveController::DomainShareOf(const std::string& aFailureDomain)
{
  const auto found = this->domainMoves.find(aFailureDomain);
  return found == this->domainMoves.end() ? 1.0 : found->second->Share();
}

std::map<std::string, std::string>
MoveController::Descriptions() const
{
  std::map<std::string, std::string> lines;
  for (const auto& [id, tracked] : this->versionMoves) {
    lines.emplace(id, tracked->move->Describe());
  }
  for (const Move& move : this->desired.moves) {
    const auto found = this->domainMoveDesiredVersions.find(move.id);
    if (move.kind != MoveKind::Version && move.state == MoveState::Running &&
        found != this->domainMoveDesiredVersions.end()) {
      bool isDone = false;
      lines.emplace(move.id, this->DomainConfirmation(found->second, isDone));
    }
  }
  return lines;
}

} // namespace fireflytrail::daemon
