#pragma once

#include "operator_client/FlagSet.h"

#include <string>
#include <vector>

namespace fireflytrail::operator_client {

/**
 * The command line of one subcommand. Flags are gflags flags, but are parsed
 * here: each subcommand accepts only its own flags, so that a flag without
 * effect is rejected instead of silently ignored, and every mistake is reported
 * as one line with the same exit code.
 */
struct CommandLine
{
  std::vector<std::string> arguments;
  /** One line that describes the first mistake; empty if there is none. */
  std::string error;
  bool wantsHelp = false;

  /**
   * Sets the flags named in `aArguments` and returns the positional arguments.
   * Accepts `--name=value` and `--name value`, `--name` and `--noname` for
   * booleans, and `-` in place of `_` in names; all arguments after `--` are
   * positional. Not thread-safe: flags are global.
   */
  static CommandLine Parse(const std::vector<std::string>& aArguments,
                           const FlagSet& aFlags);

  /** Returns one line of help for each flag, with its default value. */
  static std::string DescribeFlags(const FlagSet& aFlags);
};

} // namespace fireflytrail::operator_client
