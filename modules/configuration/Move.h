#pragma once

#include "core/Hooks.h"

#include <cstdint>
#include <string>

namespace fireflytrail::configuration {

/** The change that a move makes. */
enum class MoveKind : std::uint8_t
{
  /** Takes a failure domain out of service. */
  DomainOut,
  /** Puts a failure domain back into service. */
  DomainIn,
  /** Replaces the version of a service. */
  Version,
};

/** State of a move as recorded in the store. */
enum class MoveState : std::uint8_t
{
  Running,
  Done,
  /** Final: this move never routes calls to the taken-back version again. */
  TakenBack,
  /** Withdrawn by an operator before it was done. */
  Cancelled,
};

/** One planned change that an operator requested. */
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
  std::string requestedBy;
  core::WallTimePoint requestTime;
  /** Time by which the move is to be done. */
  core::WallTimePoint setTime;
  MoveState state = MoveState::Running;
  /** Explains the state to operators, with the measured figures. */
  std::string reason;

  bool operator==(const Move&) const = default;
};

} // namespace fireflytrail::configuration
