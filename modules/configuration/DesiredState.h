#pragma once

#include "configuration/Checked.h"
#include "configuration/Move.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace fireflytrail::configuration {

/**
 * Everything that operators request, stored as one object: the text and the
 * moves. The store's version of the object orders successive states.
 */
struct DesiredState
{
  /** Key of the object in the store. */
  static constexpr std::string_view kKey = "desired";

  /** Number of moves above which old finished moves are dropped, to bound the
   * size of the object. */
  static constexpr std::size_t kMaxMoves = 200;

  /** Incremented with each accepted text. */
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
   * Returns the version of a service that is in force, ignoring the progress of
   * a running move: the target version of the service's last move if that move
   * is done, otherwise the version that the move started from. Without a move
   * of the service this is `aTextVersion`. Thread-safe.
   */
  std::string VersionInForce(std::string_view aService,
                             std::string_view aTextVersion) const;

  /** Returns whether the domain is out according to its last move, ignoring
   * moves that are neither running nor done. Thread-safe. */
  bool IsDomainOut(std::string_view aFailureDomain) const;

  /**
   * Returns the state after submitting a text. Besides errors in the text
   * itself, it is an error to change a service's version, which only a version
   * move may do, or to remove the target of a running move. Other moves whose
   * service or failure domain is not in the new text are dropped. Thread-safe.
   */
  Checked<DesiredState> WithText(std::string_view aText) const;

  /**
   * Returns the state after adding a move. It is an error if the target is not
   * in the text, the id is already used, the set time is before the time of the
   * request, the starting version is not in force or equals the target version,
   * or another version move of the service is running. Thread-safe.
   */
  Checked<DesiredState> WithMove(Move aMove) const;

  /**
   * Returns the state after changing the state of a move. `TakenBack` is final:
   * a move in that state does not change. An unknown `aId` changes nothing,
   * since the move may have been dropped. Thread-safe.
   */
  DesiredState WithMoveState(std::string_view aId,
                             MoveState aState,
                             std::string aReason) const;

  /**
   * Drops the oldest finished moves above `kMaxMoves`. Running moves and the
   * last effective move of each service and failure domain are always kept, so
   * that versions and domain states do not change. Not thread-safe.
   */
  void DropOldMoves();

  bool operator==(const DesiredState&) const = default;
};

} // namespace fireflytrail::configuration
