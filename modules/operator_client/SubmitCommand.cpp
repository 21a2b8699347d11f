#include "operator_client/SubmitCommand.h"

#include "configuration/OperatorText.h"

#include <fmt/format.h>

#include <utility>

namespace fireflytrail::operator_client {

using store::StoreStatus;

SubmitCommand::SubmitCommand(StoreAccess aStore, CommandOutput aOutput)
  : output(aOutput)
  , editor(std::move(aStore), std::move(aOutput))
{
}

ExitCode
SubmitCommand::Run(const NamedText& aText,
                   std::optional<std::uint64_t> aExpected) const
{
  // Validates before accessing the store, so that errors in the text are
  // reported even during a store outage.
  if (const auto parsed = configuration::OperatorText::Parse(aText.text);
      !parsed) {
    return this->editor.ReportErrors(aText.name, parsed.error());
  }
  ExitCode code = ExitCode::Ok;
  const auto current = this->editor.Read(code);
  if (!current) {
    return code;
  }
  if (aExpected && *aExpected != current->version) {
    return this->editor.ReportFailure(
      { StoreStatus::Conflict, { {}, current->version }, {} });
  }
  const auto next = current->state.WithText(aText.text);
  if (!next) {
    return this->editor.ReportErrors(aText.name, next.error());
  }
  const auto written = this->editor.Write(next.value(), current->version);
  if (written.status != StoreStatus::Ok) {
    return this->editor.ReportFailure(written);
  }
  this->output.out(fmt::format("accepted as version {}, text version {}",
                               written.object.version,
                               next.value().textVersion));
  return ExitCode::Ok;
}

} // namespace fireflytrail::operator_client
