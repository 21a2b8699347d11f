#pragma once

#include "operator_client/CommandOutput.h"
#include "operator_client/ExitCode.h"
#include "operator_client/NamedText.h"

#include <optional>

namespace fireflytrail::operator_client {

/** Validates the operators' text and daemon settings without a network. */
class CheckCommand
{
public:
  explicit CheckCommand(CommandOutput aOutput);

  /**
   * Validates the operators' text and, if given, the daemon settings, both on
   * their own and against the text. Writes one line for each error, as
   * `FILE: line N: PATH: MESSAGE`; errors without a line number omit `line N`.
   */
  ExitCode Run(const NamedText& aText,
               const std::optional<NamedText>& aSettings = std::nullopt) const;

private:
  CommandOutput output;
};

} // namespace fireflytrail::operator_client
