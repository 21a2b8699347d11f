#pragma once

#include "operator_client/CommandOutput.h"
#include "operator_client/DaemonAccess.h"
#include "operator_client/ExitCode.h"
#include "operator_client/StoreAccess.h"

#include <string>

namespace fireflytrail::operator_client {

/** Prints the state of the system as reported by a daemon and the store. */
class StatusCommand
{
public:
  StatusCommand(StoreAccess aStore,
                DaemonAccess aGetFromDaemon,
                CommandOutput aOutput);

  /**
   * Prints one line for each host and for each move. Entry hosts come from
   * `/status` of the daemon at `aDaemonAddress` or, if that is empty, of the
   * first live entry host of the host list that answers. What can be
   * read is printed even if the rest cannot; the exit code is then
   * `Unavailable`, or `Refused` if only the desired state is invalid.
   */
  ExitCode Run(const std::string& aDaemonAddress) const;

private:
  ExitCode PrintDaemon(const std::string& aDaemonAddress) const;
  ExitCode PrintHostList(const store::HostsResult& aHosts) const;
  ExitCode PrintMoves() const;

  StoreAccess store;
  DaemonAccess getFromDaemon;
  CommandOutput output;
};

} // namespace fireflytrail::operator_client
