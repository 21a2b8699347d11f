#pragma once

#include "operator_client/CommandOutput.h"
#include "operator_client/DesiredStateEditor.h"
#include "operator_client/ExitCode.h"
#include "operator_client/NamedText.h"
#include "operator_client/StoreAccess.h"

#include <cstdint>
#include <optional>

namespace fireflytrail::operator_client {

/** Submits the operators' text. */
class SubmitCommand
{
public:
  SubmitCommand(StoreAccess aStore, CommandOutput aOutput);

  /**
   * Checks the text and writes it by one conditional update. The expected
   * version is `aExpected` or, without one, the version that is read first.
   * If another operator is first, the command ends with a conflict that names
   * the winner's version. Nothing is changed unless it returns `Ok` or
   * `Unknown`.
   */
  ExitCode Run(const NamedText& aText,
               std::optional<std::uint64_t> aExpected) const;

private:
  CommandOutput output;
  DesiredStateEditor editor;
};

} // namespace fireflytrail::operator_client
