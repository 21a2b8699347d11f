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
  DumpCommand(DaemonAccess aDaemon, CommandOutput aOutput);

  /** Prints `/dump` of the daemon at `IP:PORT` as the daemon sends it. */
  ExitCode Run(const std::string& aDaemonAddress) const;

private:
  DaemonAccess daemon;
  CommandOutput output;
};

} // namespace fireflytrail::operator_client
