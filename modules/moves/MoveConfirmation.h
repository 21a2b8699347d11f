#pragma once

#include "core/DaemonId.h"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace fireflytrail::moves {

/** Whether a move is in force on every daemon. */
struct MoveConfirmation
{
  /** What membership says about a daemon. */
  enum class Reachability : std::uint8_t
  {
    Alive,
    /** No heartbeat lately; may still serve calls. */
    Suspect,
    /** Taken for ended. */
    Dead,
  };

  /** One daemon of the membership. */
  struct Member
  {
    core::DaemonId id;
    Reachability reachability = Reachability::Alive;
  };

  /** Every daemon that is not dead has confirmed. */
  bool isDone = false;
  /** Daemons that confirmed. */
  std::vector<std::string> confirmed;
  /** Live daemons that have not confirmed yet. */
  std::vector<std::string> awaited;
  /** Suspect and dead daemons that have not confirmed. */
  std::vector<std::string> unreachable;

  /**
   * Compares the membership with the daemons whose gossip record confirms a
   * move. A confirmation counts only for the process that gave it. A suspect
   * daemon holds the move up until it confirms or is dead, because it may still
   * send calls. Thread-safe.
   */
  static MoveConfirmation Of(const std::vector<Member>& aMembers,
                             const std::set<core::DaemonId>& aConfirmations);

  /** Returns one line for operators. Thread-safe. */
  std::string ToString() const;
};

} // namespace fireflytrail::moves
