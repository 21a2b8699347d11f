#include "operator_client/ExplainCommand.h"

#include "operator_client/RequestTrace.h"

#include <fmt/format.h>

#include <cassert>
#include <fstream>
#include <utility>

namespace fireflytrail::operator_client {

ExplainCommand::ExplainCommand(CommandOutput aOutput)
  : output(std::move(aOutput))
{
  assert(this->output.out && this->output.error);
}

ExitCode
ExplainCommand::Run(const std::string& aId,
                    const std::vector<std::string>& aFiles) const
{
  RequestTrace trace(aId);
  for (const std::string& name : aFiles) {
    std::ifstream file(name);
    if (!file) {
      this->output.error(fmt::format("cannot read {}", name));
      return ExitCode::Usage;
    }
    for (std::string line; std::getline(file, line);) {
      if (!line.empty()) {
        trace.AddLine(name, line);
      }
    }
  }
  if (!trace.IsFound()) {
    this->output.error(
      fmt::format("no log line has the id {}; requests that succeed at the "
                  "first attempt are not logged",
                  aId));
    return ExitCode::Refused;
  }
  for (const std::string& line : trace.Format()) {
    this->output.out(line);
  }
  if (trace.UnreadableCount() > 0) {
    this->output.error(
      fmt::format("{} lines are not valid log lines", trace.UnreadableCount()));
  }
  return ExitCode::Ok;
}

} // namespace fireflytrail::operator_client
