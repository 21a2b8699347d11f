#pragma once

#include "configuration/Move.h"
#include "core/Hooks.h"
#include "operator_client/CommandOutput.h"
#include "operator_client/DesiredStateEditor.h"
#include "operator_client/ExitCode.h"
#include "operator_client/StoreAccess.h"

#include <chrono>
#include <functional>
#include <optional>
#include <string>

namespace fireflytrail::operator_client {

/** Adds a move to the desired state and optionally waits until it ends. */
class MoveCommand
{
public:
  /** Result of checking whether a domain can be taken out. */
  struct Capacity
  {
    bool isEnough = false;
    /** Slots in use and left, one line for each service, or why they are
     * unknown. */
    std::string details;
  };

  /** Checks whether a domain can be taken out, given the desired state. */
  using CapacityFunction =
    std::function<Capacity(const configuration::DesiredState& aState,
                           const std::string& aFailureDomain)>;

  struct Hooks
  {
    core::WallNowFunction now;
    core::RandomFunction random;
    CapacityFunction capacity;
  };

  MoveCommand(StoreAccess aStore,
              Hooks aHooks,
              CommandOutput aOutput,
              std::string aOperatorName);

  /**
   * Requests that a domain is taken out (`aTakesOut`) or brought back. Taking
   * it out without enough capacity in the other domains is refused unless
   * `aInsists` is set. With `aWaitLimit`, waits until the move ends or that
   * time has passed.
   */
  ExitCode RunDomain(bool aTakesOut,
                     const std::string& aFailureDomain,
                     bool aInsists,
                     std::optional<std::chrono::seconds> aWaitLimit) const;

  /**
   * Requests that a version of a service is in force by `aSetTime`.
   * `aWaitLimit` is as for `RunDomain`.
   */
  ExitCode RunVersion(const std::string& aService,
                      const std::string& aVersion,
                      core::WallTimePoint aSetTime,
                      std::optional<std::chrono::seconds> aWaitLimit) const;

private:
  using MakeMove = std::function<configuration::Move(
    const configuration::DesiredState& aState)>;

  /** Adds a move by a conditional update, which is repeated after conflicts.
   * The move is refused if `aIsAllowed` returns false. */
  ExitCode Add(
    const MakeMove& aMakeMove,
    const std::function<bool(const configuration::DesiredState& aState)>&
      aIsAllowed,
    std::optional<std::chrono::seconds> aWaitLimit) const;
  /** Watches the desired state from `aVersion` on until the move ends or the
   * limit has passed. */
  ExitCode WaitForEnd(const std::string& aId,
                      std::uint64_t aVersion,
                      std::chrono::seconds aWaitLimit) const;
  std::string GenerateId(core::WallTimePoint aNow) const;

  StoreAccess store;
  Hooks hooks;
  CommandOutput output;
  std::string operatorName;
  DesiredStateEditor editor;
};

} // namespace fireflytrail::operator_client
