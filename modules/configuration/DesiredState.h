#pragma once

#include "configuration/Checked.h"
#include "configuration/Move.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace fireflytrail::configuration {

/**
 * Everything that operators request, as one store object: the text and the
 * moves. Its version order is the store's version of the object.
 */
struct DesiredState
{
  /** Key of the object in the store. */
  static constexpr std::string_view kKey = "desired";

  /** Moves kept; older finished ones are dropped to bound the object. */
  static constexpr std::size_t kMaxMoves = 200;

  /** Grows by one with each accepted text. */
  std::uint64_t textVersion = 0;
  /** The operators' text, byte for byte. */
  std::string text;
  /** In the order in which they were requested. */
  std::vector<Move> moves;

  /** Parses and checks a document. Thread-safe. */
  static Checked<DesiredState> Parse(std::string_view aDocument);

  /** Returns the document as JSON. Thread-safe. */
  std::string Serialize() const;

  /** Returns a move by its id, or null. Thread-safe. */
  const Move* FindMove(std::string_view aId) const;

  /**
   * Returns the version of a service that is in force outside a running move:
   * the target of the service's last move if that is done, otherwise the
   * version that the move starts from, or the text's version when no move is
   * listed. Thread-safe.
   */
  std::string VersionInForce(std::string_view aService,
                             std::string_view aTextVersion) const;

  /** Returns whether the last domain move takes the domain out. Thread-safe. */
  bool IsDomainOut(std::string_view aFailureDomain) const;

  /**
   * Returns the state after submitting a text. Besides the text's own errors,
   * it is an error to change a service's version, because that takes a version
   * move, and to remove the target of a running move. Moves of services and
   * failure domains that the text no longer has are dropped. Thread-safe.
   */
  Checked<DesiredState> WithText(std::string_view aText) const;

  /**
   * Returns the state after adding a move. It is an error if the target is not
   * in the text, the id is taken, the starting version is not in force, or
   * another version move of the service is running. Thread-safe.
   */
  Checked<DesiredState> WithMove(Move aMove) const;

  /**
   * Returns the state after a move's state changed. `TakenBack` is final and
   * wins over every other state; the result is then unchanged. `aId` may be
   * unknown, for a move that was dropped. Thread-safe.
   */
  DesiredState WithMoveState(std::string_view aId,
                             MoveState aState,
                             std::string aReason) const;

  /**
   * Drops the oldest finished moves until at most `kMaxMoves` remain. Keeps
   * running moves and the last move of each service and failure domain, so
   * that versions and domain states do not change. Not thread-safe.
   */
  void DropOldMoves();

  bool operator==(const DesiredState&) const = default;
};

} // namespace fireflytrail::configuration
