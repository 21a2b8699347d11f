#pragma once

#include "operator_client/CommandOutput.h"
#include "operator_client/DaemonAccess.h"
#include "operator_client/ExitCode.h"
#include "operator_client/StoreAccess.h"

#include <string>

namespace fireflytrail::operator_client {

/** Prints what the daemons and the store say about the system. */
class StatusCommand
{
public:
  StatusCommand(StoreAccess aStore,
                DaemonAccess aDaemon,
                CommandOutput aOutput);

  /**
   * Prints one line for each host and for each move. Entry hosts come from
   * `/status` of the daemon at `aDaemonAddress` or, if that is empty, of the
   * first live entry host of the host list that answers. What can be read is
   * printed even if the rest cannot; the exit code is `Unavailable` then.
   */
  ExitCode Run(const std::string& aDaemonAddress) const;

private:
  ExitCode PrintDaemon(const std::string& aDaemonAddress) const;
  ExitCode PrintServers(const store::HostsResult& aHosts) const;
  ExitCode PrintMoves() const;

  StoreAccess store;
  DaemonAccess daemon;
  CommandOutput output;
};

} // namespace fireflytrail::operator_client
