#pragma once

#include "configuration/DesiredState.h"
#include "operator_client/DaemonAccess.h"
#include "operator_client/MoveCommand.h"
#include "operator_client/StoreAccess.h"

#include <functional>
#include <string>

namespace fireflytrail::operator_client {

/**
 * Finds out whether the other failure domains can carry the load of one. The
 * slots come from the host list and the text; the slots in use are the average
 * of what the servers reported to one entry daemon within about a second.
 */
class CapacityCheck
{
public:
  /**
   * `aDaemonAddress` names the daemon to ask; if it is empty, the live entry
   * hosts of the host list are tried. `aPause` waits between two samples.
   */
  CapacityCheck(StoreAccess aStore,
                DaemonAccess aDaemon,
                std::string aDaemonAddress,
                std::function<void()> aPause);

  /**
   * Checks taking a domain out. Without figures about the load the result is
   * that there is not enough.
   */
  MoveCommand::Capacity Run(const configuration::DesiredState& aState,
                            const std::string& aFailureDomain) const;

  /** Number of samples of the load that are averaged. */
  static constexpr int kSamples = 5;

private:
  StoreAccess store;
  DaemonAccess daemon;
  std::string daemonAddress;
  std::function<void()> pause;
};

} // namespace fireflytrail::operator_client
