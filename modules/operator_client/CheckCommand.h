#pragma once

#include "operator_client/CommandOutput.h"
#include "operator_client/ExitCode.h"
#include "operator_client/NamedText.h"

#include <optional>

namespace fireflytrail::operator_client {

/** Checks files without a network. */
class CheckCommand
{
public:
  explicit CheckCommand(CommandOutput aOutput);

  /**
   * Checks the operators' text and, if there are any, the daemon settings,
   * also against the text. Writes every error that is found as
   * `FILE: line N: PATH: MESSAGE`.
   */
  ExitCode Run(const NamedText& aText,
               const std::optional<NamedText>& aSettings = std::nullopt) const;

private:
  CommandOutput output;
};

} // namespace fireflytrail::operator_client
