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

/** Adds a move to the desired state and can wait for its end. */
class MoveCommand
{
public:
  /** Result of checking whether a domain can be taken out. */
  struct Capacity
  {
    bool isEnough = false;
    /** Figures, one line for each service, or why there are none. */
    std::string figures;
  };

  /** Checks taking a domain out of a desired state. */
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
   * Asks for a domain to be taken out or brought back. Taking out without
   * enough capacity in the other domains is refused unless `aInsists`.
   */
  ExitCode RunDomain(bool aIsOut,
                     const std::string& aFailureDomain,
                     bool aInsists,
                     std::optional<std::chrono::seconds> aWait) const;

  /** Asks for a version of a service to be in force by a time. */
  ExitCode RunVersion(const std::string& aService,
                      const std::string& aVersion,
                      core::WallTimePoint aSetTime,
                      std::optional<std::chrono::seconds> aWait) const;

private:
  using MakeMove = std::function<configuration::Move(
    const configuration::DesiredState& aState)>;

  ExitCode Add(
    const MakeMove& aMakeMove,
    const std::function<bool(const configuration::DesiredState& aState)>&
      aIsAllowed,
    std::optional<std::chrono::seconds> aWait) const;
  ExitCode Await(const std::string& aId,
                 std::uint64_t aVersion,
                 std::chrono::seconds aWait) const;
  std::string DrawId(core::WallTimePoint aNow) const;

  StoreAccess store;
  Hooks hooks;
  CommandOutput output;
  std::string operatorName;
  DesiredStateEditor editor;
};

} // namespace fireflytrail::operator_client
