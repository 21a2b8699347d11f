#pragma once

#include "operator_client/CommandOutput.h"
#include "operator_client/ExitCode.h"

#include <string>
#include <vector>

namespace fireflytrail::operator_client {

/** Prints what happened to one request, according to daemons' logs. */
class ExplainCommand
{
public:
  /** All functions of `aOutput` must be set. */
  explicit ExplainCommand(CommandOutput aOutput);

  /**
   * Reads the files, each the log of one daemon, and prints the trace of the
   * request with the id `aId`, which the caller has set. Returns `Usage` if a
   * file cannot be read and `Refused` if no log line has the id. Not
   * thread-safe.
   */
  ExitCode Run(const std::string& aId,
               const std::vector<std::string>& aFiles) const;

private:
  CommandOutput output;
};

} // namespace fireflytrail::operator_client
