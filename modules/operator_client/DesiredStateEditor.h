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

/** Reads and conditionally updates the object `desired` for a command. */
class DesiredStateEditor
{
public:
  /** The document and the version of its object, 0 if there is none yet. */
  struct Current
  {
    configuration::DesiredState state;
    std::uint64_t version = 0;
  };

  DesiredStateEditor(StoreAccess aStore, CommandOutput aOutput);

  /** Reads the document. On failure writes one line and sets `aCode`. */
  std::optional<Current> Read(ExitCode& aCode) const;

  /**
   * Writes the document if the object still has the version. Returns the
   * store's result; writes nothing to the output.
   */
  store::StoreResult Write(const configuration::DesiredState& aState,
                           std::uint64_t aExpected) const;

  /** Writes one line about a write that did not succeed. */
  ExitCode ReportFailure(const store::StoreResult& aResult) const;

  /** Writes one line for each reason that a change is refused. */
  ExitCode ReportErrors(
    std::string_view aSubject,
    const std::vector<configuration::TextError>& aErrors) const;

private:
  StoreAccess store;
  CommandOutput output;
};

} // namespace fireflytrail::operator_client
