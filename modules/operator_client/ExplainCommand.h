#pragma once

#include "operator_client/CommandOutput.h"
#include "operator_client/ExitCode.h"

#include <string>
#include <vector>

namespace fireflytrail::operator_client {

/** Prints from logs of daemons what became of one request. */
class ExplainCommand
{
public:
  /** All functions of `aOutput` must be set. */
  explicit ExplainCommand(CommandOutput aOutput);

  /**
   * Reads the files, one daemon's log each, and prints the story of the request
   * with the caller's id. Returns `Usage` if a file cannot be read and
   * `Refused` if none names the id. Not thread-safe.
   */
  ExitCode Run(const std::string& aId,
               const std::vector<std::string>& aFiles) const;

private:
  CommandOutput output;
};

} // namespace fireflytrail::operator_client
