#pragma once

#include "core/Hooks.h"
#include "core/Result.h"

#include <string>
#include <string_view>

namespace fireflytrail::moves {

/**
 * The final decision that a version move is taken back. There is no opposite
 * verdict, so that no message can revoke it.
 */
struct Verdict
{
  std::string moveId;
  core::WallTimePoint at;
  /** Name of the daemon that reached the verdict. */
  std::string by;
  /** Figures behind the verdict, for operators. */
  std::string reason;

  /** Returns the JSON encoding for a gossip record. Thread-safe. */
  std::string Serialize() const;

  /** Parses the encoding that `Serialize` returns. Thread-safe. */
  static core::Result<Verdict> Parse(std::string_view aText);

  bool operator==(const Verdict&) const = default;
};

} // namespace fireflytrail::moves
