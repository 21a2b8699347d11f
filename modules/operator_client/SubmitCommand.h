#pragma once

#include "operator_client/CommandOutput.h"
#include "operator_client/DesiredStateEditor.h"
#include "operator_client/ExitCode.h"
#include "operator_client/NamedText.h"
#include "operator_client/StoreAccess.h"

#include <cstdint>
#include <optional>

namespace fireflytrail::operator_client {

/** Puts an operators' text in force by writing it to the store. */
class SubmitCommand
{
public:
  SubmitCommand(StoreAccess aStore, CommandOutput aOutput);

  /**
   * Validates the text and writes it by one conditional update. The expected
   * version is `aExpected` or, if that is not set, the version that is in the
   * store when the command starts. If another operator updates the object
   * first, an error line names the version in the store and the result is
   * `Conflict`. Nothing is changed unless the result is `Ok` or `Unknown`.
   */
  ExitCode Run(const NamedText& aText,
               std::optional<std::uint64_t> aExpected) const;

private:
  CommandOutput output;
  DesiredStateEditor editor;
};

} // namespace fireflytrail::operator_client
