#pragma once

#include "core/DaemonId.h"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace fireflytrail::moves {

/** Whether every daemon has applied a move. */
struct MoveConfirmation
{
  /** State of a daemon according to the membership. */
  enum class Reachability : std::uint8_t
  {
    Alive,
    /** No recent heartbeat; may still serve calls. */
    Suspect,
    /** Considered terminated. */
    Dead,
  };

  /** One daemon of the membership. */
  struct Member
  {
    core::DaemonId id;
    Reachability reachability = Reachability::Alive;
  };

  /** Every daemon that is not dead has confirmed, and at least one has. */
  bool isDone = false;
  /** Daemons that confirmed. */
  std::vector<std::string> confirmed;
  /** Live daemons that have not confirmed yet. */
  std::vector<std::string> awaited;
  /** Suspect and dead daemons that have not confirmed. */
  std::vector<std::string> unreachable;

  /**
   * Compares the membership with the daemons whose gossip record confirms a
   * move. A confirmation is valid only for the process that gave it. The move
   * is not done while a suspect daemon has not confirmed, because that daemon
   * may still send calls. Thread-safe.
   */
  static MoveConfirmation Of(const std::vector<Member>& aMembers,
                             const std::set<core::DaemonId>& aConfirmations);

  /** Returns one line for operators. Thread-safe. */
  std::string ToString() const;
};

} // namespace fireflytrail::moves
