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

// Operators race rarely; more conflicts in a row mean that something writes
// all the time.
constexpr int kMaxTries = 10;

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
MoveCommand::RunDomain(bool aIsOut,
                       const std::string& aFailureDomain,
                       bool aInsists,
                       std::optional<std::chrono::seconds> aWait) const
{
  const auto makeMove = [&](const DesiredState&) {
    Move move;
    move.kind = aIsOut ? MoveKind::DomainOut : MoveKind::DomainIn;
    move.failureDomain = aFailureDomain;
    return move;
  };
  const auto isAllowed = [&](const DesiredState& aState) {
    if (!aIsOut) {
      return true;
    }
    const Capacity capacity = this->hooks.capacity(aState, aFailureDomain);
    if (!capacity.figures.empty()) {
      this->output.out(capacity.figures);
    }
    if (!capacity.isEnough && !aInsists) {
      this->output.error(fmt::format(
        "the other domains cannot carry the load of {}; use --insist to take "
        "it out all the same; nothing was changed",
        aFailureDomain));
    }
    return capacity.isEnough || aInsists;
  };
  return this->Add(makeMove, isAllowed, aWait);
}

ExitCode
MoveCommand::RunVersion(const std::string& aService,
                        const std::string& aVersion,
                        core::WallTimePoint aSetTime,
                        std::optional<std::chrono::seconds> aWait) const
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
    makeMove, [](const DesiredState&) { return true; }, aWait);
}

ExitCode
MoveCommand::Add(
  const MakeMove& aMakeMove,
  const std::function<bool(const DesiredState& aState)>& aIsAllowed,
  std::optional<std::chrono::seconds> aWait) const
{
  const core::WallTimePoint askedAt =
    std::chrono::floor<std::chrono::milliseconds>(this->hooks.now());
  const std::string id = this->DrawId(askedAt);
  bool mayBeWritten = false;
  store::StoreResult written;
  for (int tries = 0; tries < kMaxTries; ++tries) {
    ExitCode code = ExitCode::Ok;
    const auto current = this->editor.Read(code);
    if (!current) {
      return mayBeWritten ? ExitCode::Unknown : code;
    }
    if (mayBeWritten && current->state.FindMove(id) != nullptr) {
      written = { StoreStatus::Ok, { {}, current->version }, {} };
      break;
    }
    if (current->version == 0) {
      this->output.error("the store holds no text yet; submit one first");
      return ExitCode::Refused;
    }
    Move move = aMakeMove(current->state);
    move.id = id;
    move.askedBy = this->operatorName;
    move.askedAt = askedAt;
    if (move.kind != MoveKind::Version) {
      move.setTime = askedAt;
    }
    const auto next = current->state.WithMove(move);
    if (!next) {
      return this->editor.ReportErrors("move refused", next.error());
    }
    if (!aIsAllowed(current->state)) {
      return ExitCode::Refused;
    }
    written = this->editor.Write(next.value(), current->version);
    if (written.status == StoreStatus::Unknown) {
      // The id tells whether the move is in the next version that is read.
      mayBeWritten = true;
    } else if (written.status != StoreStatus::Conflict) {
      break;
    }
  }
  if (written.status != StoreStatus::Ok) {
    if (mayBeWritten) {
      written.status = StoreStatus::Unknown;
    }
    return this->editor.ReportFailure(written);
  }
  this->output.out(
    fmt::format("move {} accepted as version {}", id, written.object.version));
  return aWait ? this->Await(id, written.object.version, *aWait) : ExitCode::Ok;
}

ExitCode
MoveCommand::Await(const std::string& aId,
                   std::uint64_t aVersion,
                   std::chrono::seconds aWait) const
{
  const auto end = this->hooks.now() + aWait;
  std::uint64_t version = aVersion;
  // The move may have ended between its writing and the first watch.
  ExitCode code = ExitCode::Ok;
  auto current = this->editor.Read(code);
  while (true) {
    if (current) {
      version = current->version;
      const Move* move = current->state.FindMove(aId);
      if (move == nullptr) {
        this->output.error(fmt::format(
          "move {} is no longer listed: a later text dropped its target", aId));
        return ExitCode::TakenBack;
      }
      if (move->state != MoveState::Running) {
        this->output.out(DescribeMove(*move));
        return move->state == MoveState::Done ? ExitCode::Ok
                                              : ExitCode::TakenBack;
      }
    }
    if (this->hooks.now() >= end) {
      this->output.error(
        fmt::format("move {} is still running at the end of the wait", aId));
      return ExitCode::StillRunning;
    }
    // An outage during the wait does not end it: the move goes on without the
    // store.
    const auto changed =
      this->store.watch(std::string(DesiredState::kKey), version);
    current.reset();
    if (changed.status == StoreStatus::Ok) {
      if (auto state = DesiredState::Parse(changed.object.body)) {
        current = DesiredStateEditor::Current{ std::move(state).value(),
                                               changed.object.version };
      }
    }
  }
}

std::string
MoveCommand::DrawId(core::WallTimePoint aNow) const
{
  const auto milliseconds =
    std::chrono::duration_cast<std::chrono::milliseconds>(
      aNow.time_since_epoch());
  return fmt::format(
    "m{}-{:08x}", milliseconds.count(), this->hooks.random() & 0xffffffffU);
}

} // namespace fireflytrail::operator_client
