#include "operator_client/DesiredStateEditor.h"

#include <fmt/format.h>

#include <cassert>
#include <string>
#include <utility>

namespace fireflytrail::operator_client {

using configuration::DesiredState;
using store::StoreStatus;

namespace {

const std::string kKey(DesiredState::kKey);

} // namespace

DesiredStateEditor::DesiredStateEditor(StoreAccess aStore,
                                       CommandOutput aOutput)
  : store(std::move(aStore))
  , output(std::move(aOutput))
{
  assert(this->store.read && this->store.write);
  assert(this->output.out && this->output.error);
}

std::optional<DesiredStateEditor::Snapshot>
DesiredStateEditor::Read(ExitCode& aCode) const
{
  const auto result = this->store.read(kKey);
  if (result.status == StoreStatus::NotFound) {
    return Snapshot{};
  }
  if (result.status != StoreStatus::Ok) {
    aCode = ExitCode::Unavailable;
    this->output.error(fmt::format("cannot read the store: {}", result.detail));
    return std::nullopt;
  }
  auto state = DesiredState::Parse(result.object.body);
  if (!state) {
    aCode = ExitCode::Refused;
    this->output.error(fmt::format(
      "the store holds a desired state that this program cannot read: {}",
      state.error().front().ToString()));
    return std::nullopt;
  }
  return Snapshot{ std::move(state).value(), result.object.version };
}

store::StoreResult
DesiredStateEditor::Write(const DesiredState& aState,
                          std::uint64_t aExpected) const
{
  return this->store.write(kKey, aState.Serialize(), aExpected);
}

ExitCode
DesiredStateEditor::ReportFailure(const store::StoreResult& aResult) const
{
  assert(aResult.status != StoreStatus::Ok);
  switch (aResult.status) {
    case StoreStatus::Conflict:
      this->output.error(
        fmt::format("conflict: another operator was first; the version in the "
                    "store is {}; nothing was changed",
                    aResult.object.version));
      return ExitCode::Conflict;
    case StoreStatus::Unknown:
      this->output.error(fmt::format(
        "outcome unknown: {}; see what status says", aResult.detail));
      return ExitCode::Unknown;
    case StoreStatus::Refused:
      this->output.error(
        fmt::format("refused: {}; nothing was changed", aResult.detail));
      return ExitCode::Refused;
    default:
      this->output.error(fmt::format(
        "store unavailable: {}; nothing was changed", aResult.detail));
      return ExitCode::Unavailable;
  }
}

ExitCode
DesiredStateEditor::ReportErrors(
  std::string_view aSubject,
  const std::vector<configuration::TextError>& aErrors) const
{
  for (const configuration::TextError& error : aErrors) {
    // Errors about a move have no line number.
    this->output.error(
      error.line == 0
        ? fmt::format("{}: {}: {}", aSubject, error.path, error.message)
        : fmt::format("{}: {}", aSubject, error.ToString()));
  }
  return ExitCode::Refused;
}

} // namespace fireflytrail::operator_client
