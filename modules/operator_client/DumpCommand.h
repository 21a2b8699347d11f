#pragma once

#include "operator_client/CommandOutput.h"
#include "operator_client/DaemonAccess.h"
#include "operator_client/ExitCode.h"

#include <string>

namespace fireflytrail::operator_client {

/** Prints the state dump of one daemon. */
class DumpCommand
{
public:
  DumpCommand(DaemonAccess aGetFromDaemon, CommandOutput aOutput);

  /** Prints the body of `/dump` of the daemon at `IP:PORT` unchanged, except
   * for line breaks at its end. */
  ExitCode Run(const std::string& aDaemonAddress) const;

private:
  DaemonAccess getFromDaemon;
  CommandOutput output;
};

} // namespace fireflytrail::operator_client
