#include "operator_client/CheckCommand.h"

#include "configuration/DaemonSettings.h"
#include "configuration/OperatorText.h"

#include <fmt/format.h>

#include <utility>
#include <vector>

namespace fireflytrail::operator_client {

using configuration::DaemonSettings;
using configuration::OperatorText;
using configuration::TextError;

CheckCommand::CheckCommand(CommandOutput aOutput)
  : output(std::move(aOutput))
{
}

ExitCode
CheckCommand::Run(const NamedText& aText,
                  const std::optional<NamedText>& aSettings) const
{
  const auto report = [&](const std::string& aName,
                          const std::vector<TextError>& aErrors) {
    for (const TextError& error : aErrors) {
      this->output.error(
        error.line == 0
          ? fmt::format("{}: {}: {}", aName, error.path, error.message)
          : fmt::format("{}: {}", aName, error.ToString()));
    }
    return ExitCode::Refused;
  };
  const auto text = OperatorText::Parse(aText.text);
  ExitCode code = ExitCode::Ok;
  if (!text) {
    code = report(aText.name, text.error());
  } else {
    std::size_t calls = 0;
    for (const auto& [name, service] : text.value().services) {
      calls += service.calls.size();
    }
    this->output.out(
      fmt::format("{}: ok: {}: {} services, {} calls, {} failure domains",
                  aText.name,
                  text.value().name,
                  text.value().services.size(),
                  calls,
                  text.value().FailureDomains().size()));
  }
  if (!aSettings) {
    return code;
  }
  const auto settings = DaemonSettings::Parse(aSettings->text);
  if (!settings) {
    return report(aSettings->name, settings.error());
  }
  if (text) {
    const auto errors = settings.value().CheckAgainst(text.value());
    if (!errors.empty()) {
      return report(aSettings->name, errors);
    }
  }
  this->output.out(
    fmt::format("{}: ok: daemon {}", aSettings->name, settings.value().name));
  return code;
}

} // namespace fireflytrail::operator_client
