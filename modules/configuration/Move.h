#pragma once

#include "core/Hooks.h"

#include <cstdint>
#include <string>

namespace fireflytrail::configuration {

/** What a move changes. */
enum class MoveKind : std::uint8_t
{
  DomainOut,
  DomainIn,
  Version,
};

/** State of a move as recorded in the store. */
enum class MoveState : std::uint8_t
{
  Running,
  Done,
  /** Final: a taken-back version is never routed to again by this move. */
  TakenBack,
  /** Withdrawn by an operator before it was done. */
  Cancelled,
};

/** One move that an operator requested. */
struct Move
{
  /** Unique among all moves ever requested. */
  std::string id;
  MoveKind kind = MoveKind::DomainOut;
  /** Target of a domain move; empty otherwise. */
  std::string failureDomain;
  /** Target of a version move; empty otherwise. */
  std::string service;
  std::string fromVersion;
  std::string toVersion;
  std::string askedBy;
  core::WallTimePoint askedAt;
  /** Time by which the move is to be done. */
  core::WallTimePoint setTime;
  MoveState state = MoveState::Running;
  /** Figures behind the state, for operators. */
  std::string reason;

  bool operator==(const Move&) const = default;
};

} // namespace fireflytrail::configuration
