#include "operator_client/MoveCommand.h"

#include "configuration/OperatorText.h"
#include "operator_client/MoveText.h"

#include <fmt/format.h>

#include <cassert>
#include <utility>

namespace fireflytrail::operator_client {

using configuration::DesiredState;
using configuration::Move;
using configuration::MoveKind;
using configuration::MoveState;
using store::StoreStatus;

namespace {

// Concurrent updates by operators are rare; more conflicts in a row than this
// mean that something keeps updating the object.
constexpr int kMaxAttempts = 10;

} // namespace

MoveCommand::MoveCommand(StoreAccess aStore,
                         Hooks aHooks,
                         CommandOutput aOutput,
                         std::string aOperatorName)
  : store(aStore)
  , hooks(std::move(aHooks))
  , output(aOutput)
  , operatorName(std::move(aOperatorName))
  , editor(std::move(aStore), std::move(aOutput))
{
  assert(this->hooks.now && this->hooks.random && this->hooks.capacity);
}

ExitCode
MoveCommand::RunDomain(bool aTakesOut,
                       const std::string& aFailureDomain,
                       bool aInsists,
                       std::optional<std::chrono::seconds> aWaitLimit) const
{
  const auto makeMove = [&](const DesiredState&) {
    Move move;
    move.kind = aTakesOut ? MoveKind::DomainOut : MoveKind::DomainIn;
    move.failureDomain = aFailureDomain;
    return move;
  };
  const auto isAllowed = [&](const DesiredState& aState) {
    if (!aTakesOut) {
      return true;
    }
    const Capacity capacity = this->hooks.capacity(aState, aFailureDomain);
    if (!capacity.details.empty()) {
      this->output.out(capacity.details);
    }
    if (!capacity.isEnough && !aInsists) {
      this->output.error(fmt::format(
        "the other domains cannot carry the load of {}; use --insist to take "
        "it out anyway; nothing was changed",
        aFailureDomain));
    }
    return capacity.isEnough || aInsists;
  };
  return this->Add(makeMove, isAllowed, aWaitLimit);
}

ExitCode
MoveCommand::RunVersion(const std::string& aService,
                        const std::string& aVersion,
                        core::WallTimePoint aSetTime,
                        std::optional<std::chrono::seconds> aWaitLimit) const
{
  const auto makeMove = [&](const DesiredState& aState) {
    Move move;
    move.kind = MoveKind::Version;
    move.service = aService;
    move.toVersion = aVersion;
    const auto text = configuration::OperatorText::Parse(aState.text);
    const auto* service = text ? text.value().FindService(aService) : nullptr;
    if (service != nullptr) {
      move.fromVersion = aState.VersionInForce(aService, service->version);
    }
    move.setTime = aSetTime;
    return move;
  };
  return this->Add(
    makeMove, [](const DesiredState&) { return true; }, aWaitLimit);
}

ExitCode
MoveCommand::Add(
  const MakeMove& aMakeMove,
  const std::function<bool(const DesiredState& aState)>& aIsAllowed,
  std::optional<std::chrono::seconds> aWaitLimit) const
{
  const core::WallTimePoint requestTime =
    std::chrono::floor<std::chrono::milliseconds>(this->hooks.now());
  const std::string id = this->GenerateId(requestTime);
  bool mayBeWritten = false;
  store::StoreResult writeResult;
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    ExitCode code = ExitCode::Ok;
    const auto current = this->editor.Read(code);
    if (!current) {
      return mayBeWritten ? ExitCode::Unknown : code;
    }
    if (mayBeWritten && current->state.FindMove(id) != nullptr) {
      writeResult = { StoreStatus::Ok, { {}, current->version }, {} };
      break;
    }
    if (current->version == 0) {
      this->output.error("the store holds no text yet; submit one first");
      return ExitCode::Refused;
    }
    Move move = aMakeMove(current->state);
    move.id = id;
    move.requestedBy = this->operatorName;
    move.requestTime = requestTime;
    if (move.kind != MoveKind::Version) {
      move.setTime = requestTime;
    }
    const auto next = current->state.WithMove(move);
    if (!next) {
      return this->editor.ReportErrors("move refused", next.error());
    }
    if (!aIsAllowed(current->state)) {
      return ExitCode::Refused;
    }
    writeResult = this->editor.Write(next.value(), current->version);
    if (writeResult.status == StoreStatus::Unknown) {
      // The next read shows by the move's id whether this write took effect.
      mayBeWritten = true;
    } else if (writeResult.status != StoreStatus::Conflict) {
      break;
    }
  }
  if (writeResult.status != StoreStatus::Ok) {
    if (mayBeWritten) {
      writeResult.status = StoreStatus::Unknown;
    }
    return this->editor.ReportFailure(writeResult);
  }
  this->output.out(fmt::format(
    "move {} accepted as version {}", id, writeResult.object.version));
  return aWaitLimit
           ? this->WaitForEnd(id, writeResult.object.version, *aWaitLimit)
           : ExitCode::Ok;
}

ExitCode
MoveCommand::WaitForEnd(const std::string& aId,
                        std::uint64_t aVersion,
                        std::chrono::seconds aWaitLimit) const
{
  const auto deadline = this->hooks.now() + aWaitLimit;
  std::uint64_t version = aVersion;
  // Reads before the first watch, because the move may have ended since the
  // write.
  ExitCode code = ExitCode::Ok;
  auto current = this->editor.Read(code);
  while (true) {
    if (current) {
      version = current->version;
      const Move* move = current->state.FindMove(aId);
      if (move == nullptr) {
        this->output.error(
          fmt::format("move {} is no longer in the desired state: a later "
                      "operators' text removed its target",
                      aId));
        return ExitCode::TakenBack;
      }
      if (move->state != MoveState::Running) {
        this->output.out(DescribeMove(*move));
        return move->state == MoveState::Done ? ExitCode::Ok
                                              : ExitCode::TakenBack;
      }
    }
    if (this->hooks.now() >= deadline) {
      this->output.error(
        fmt::format("move {} is still running at the end of the wait", aId));
      return ExitCode::StillRunning;
    }
    // A store outage does not end the wait: daemons continue the move without
    // the store.
    const auto watchResult =
      this->store.watch(std::string(DesiredState::kKey), version);
    current.reset();
    if (watchResult.status == StoreStatus::Ok) {
      if (auto state = DesiredState::Parse(watchResult.object.body)) {
        current = DesiredStateEditor::Snapshot{ std::move(state).value(),
                                                watchResult.object.version };
      }
    }
  }
}

std::string
MoveCommand::GenerateId(core::WallTimePoint aNow) const
{
  const auto milliseconds =
    std::chrono::duration_cast<std::chrono::milliseconds>(
      aNow.time_since_epoch());
  return fmt::format(
    "m{}-{:08x}", milliseconds.count(), this->hooks.random() & 0xffffffffU);
}

} // namespace fireflytrail::operator_client
