#pragma once

#include "core/DaemonId.h"
#include "core/Result.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace fireflytrail::calls {

/**
 * Permits one request to run at most once. Its text form is
 * `NAME.START.SEQUENCE.EXPIRY.CHECK`, all but the name in hexadecimal.
 */
struct Ticket
{
  core::DaemonId issuer;
  std::uint64_t sequence = 0;
  /**
   * Time of expiry on the monotonic clock of the issuing process. Only that
   * process can tell whether the ticket has expired.
   */
  std::chrono::milliseconds expiry{ 0 };
  /** Keyed hash of the other fields; only the issuing process can verify it. */
  std::uint64_t check = 0;

  /**
   * Returns the value that `check` must have, computed from the other fields
   * with the key `aSecret`. Thread-safe.
   */
  std::uint64_t CheckFor(std::uint64_t aSecret) const;

  /** Returns the text form. Thread-safe. */
  std::string Text() const;

  /**
   * Parses the text form, or returns an error of kind `TicketInvalid`. Does not
   * verify `check`. Thread-safe.
   */
  static core::Result<Ticket> Parse(std::string_view aText);

  bool operator==(const Ticket&) const = default;
};

} // namespace fireflytrail::calls
