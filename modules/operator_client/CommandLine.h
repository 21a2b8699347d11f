#pragma once

#include "operator_client/FlagSet.h"

#include <string>
#include <vector>

namespace fireflytrail::operator_client {

/**
 * The arguments of one subcommand. Flags are gflags flags, but each subcommand
 * accepts only its own, so that a flag without effect is not accepted in
 * silence, and every mistake is one line and one exit code.
 */
struct CommandLine
{
  std::vector<std::string> arguments;
  /** One line about the first mistake; empty if there is none. */
  std::string error;
  bool wantsHelp = false;

  /**
   * Sets the flags named in `aArguments` and returns the other arguments.
   * Accepts `--name=value`, `--name value`, `--name` and `--noname` for
   * booleans, `-` for `_` in names, and `--` before the last arguments. Not
   * thread-safe: flags are global.
   */
  static CommandLine Parse(const std::vector<std::string>& aArguments,
                           const FlagSet& aFlags);

  /** Returns lines that describe the flags with their defaults. */
  static std::string DescribeFlags(const FlagSet& aFlags);
};

} // namespace fireflytrail::operator_client
