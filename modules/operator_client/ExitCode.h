#pragma once

namespace fireflytrail::operator_client {

/** Exit codes of all subcommands. */
enum class ExitCode : int
{
  Ok = 0,
  /** The text, the settings or the move were refused, the stored desired state
   * is missing or invalid, or no log line has the request; nothing was changed.
   */
  Refused = 1,
  /** Unknown flag, bad value, missing argument or unreadable file. */
  Usage = 2,
  /** Another operator changed the desired state first; nothing was changed. */
  Conflict = 3,
  /** The store or the daemon could not be reached; nothing was changed. */
  Unavailable = 4,
  /** The change may or may not have been made. */
  Unknown = 5,
  /** The move was taken back or cancelled, or a later text removed its target.
   */
  TakenBack = 6,
  /** The move was still running at the end of the wait. */
  StillRunning = 7,
};

/** Help text about the exit codes that all subcommands share. */
inline constexpr const char* kExitCodeHelp =
  "Exit codes:\n"
  "  0  done\n"
  "  1  refused, nothing was changed\n"
  "  2  unknown flag, bad value, missing argument or unreadable file\n"
  "  3  conflict: another operator's change came first, nothing was changed\n"
  "  4  store or daemon cannot be reached, nothing was changed\n"
  "  5  the change may or may not have been made\n"
  "  6  the move was taken back or cancelled\n"
  "  7  the move was still running at the end of the wait\n";

} // namespace fireflytrail::operator_client
