#pragma once

#include "configuration/DesiredState.h"
#include "operator_client/CommandOutput.h"
#include "operator_client/ExitCode.h"
#include "operator_client/StoreAccess.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace fireflytrail::operator_client {

/** Reads and conditionally updates the store object `desired`. */
class DesiredStateEditor
{
public:
  /** The desired state and the version of its store object, which is 0 if the
   * object does not exist yet. */
  struct Snapshot
  {
    configuration::DesiredState state;
    std::uint64_t version = 0;
  };

  DesiredStateEditor(StoreAccess aStore, CommandOutput aOutput);

  /** Reads the desired state. On failure, writes one error line, sets `aCode`
   * and returns nothing. */
  std::optional<Snapshot> Read(ExitCode& aCode) const;

  /**
   * Writes the desired state if the object's version is still `aExpected`.
   * Returns the result of the store; writes nothing to the output.
   */
  store::StoreResult Write(const configuration::DesiredState& aState,
                           std::uint64_t aExpected) const;

  /** Writes one error line about a failed write and returns the exit code. */
  ExitCode ReportFailure(const store::StoreResult& aResult) const;

  /** Writes one error line for each reason why a change is refused; `aSubject`
   * is the prefix of each line. Returns `Refused`. */
  ExitCode ReportErrors(
    std::string_view aSubject,
    const std::vector<configuration::TextError>& aErrors) const;

private:
  StoreAccess store;
  CommandOutput output;
};

} // namespace fireflytrail::operator_client
