#pragma once

#include "configuration/DesiredState.h"
#include "operator_client/DaemonAccess.h"
#include "operator_client/MoveCommand.h"
#include "operator_client/StoreAccess.h"

#include <functional>
#include <string>

namespace fireflytrail::operator_client {

/**
 * Checks whether the other failure domains can carry the load of one. The
 * number of slots comes from the host list and the operators' text. The slots
 * in use are the average of several load reports of the servers, read from one
 * entry daemon within about a second.
 */
class CapacityCheck
{
public:
  /**
   * `aDaemonAddress` is the address of the operator port of the daemon to
   * query; if it is empty, the live entry hosts of the host list are tried in
   * order. `aPause` blocks between two samples.
   */
  CapacityCheck(StoreAccess aStore,
                DaemonAccess aGetFromDaemon,
                std::string aDaemonAddress,
                std::function<void()> aPause);

  /**
   * Checks whether a domain can be taken out. If the load cannot be determined,
   * the capacity is reported as not enough.
   */
  MoveCommand::Capacity Run(const configuration::DesiredState& aState,
                            const std::string& aFailureDomain) const;

  /** Number of load samples that are averaged. */
  static constexpr int kSampleCount = 5;

private:
  StoreAccess store;
  DaemonAccess getFromDaemon;
  std::string daemonAddress;
  std::function<void()> pause;
};

} // namespace fireflytrail::operator_client
