#include "operator_client/ExplainCommand.h"

#include "operator_client/LogStory.h"

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
  LogStory story(aId);
  for (const std::string& name : aFiles) {
    std::ifstream file(name);
    if (!file) {
      this->output.error(fmt::format("cannot read {}", name));
      return ExitCode::Usage;
    }
    for (std::string line; std::getline(file, line);) {
      if (!line.empty()) {
        story.AddLine(name, line);
      }
    }
  }
  if (!story.IsFound()) {
    this->output.error(
      fmt::format("no line names {}: plain successes are not logged", aId));
    return ExitCode::Refused;
  }
  for (const std::string& line : story.Tell()) {
    this->output.out(line);
  }
  if (story.UnreadableCount() > 0) {
    this->output.error(
      fmt::format("{} lines could not be read", story.UnreadableCount()));
  }
  return ExitCode::Ok;
}

} // namespace fireflytrail::operator_client
