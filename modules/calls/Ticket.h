#pragma once

#include "core/DaemonId.h"
#include "core/Result.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace fireflytrail::calls {

/**
 * Permission to run one request once. Its text form is
 * `NAME.START.SEQUENCE.EXPIRY.CHECK`, all but the name in hexadecimal.
 */
struct Ticket
{
  core::DaemonId issuer;
  std::uint64_t sequence = 0;
  /** On the monotonic clock of the issuing process, which alone judges it. */
  std::chrono::milliseconds expiry{ 0 };
  /** Keyed hash over the other fields; only the issuing process can check. */
  std::uint64_t check = 0;

  /** Returns the check value of the other fields. Thread-safe. */
  std::uint64_t CheckFor(std::uint64_t aSecret) const;

  /** Returns the text form. Thread-safe. */
  std::string Text() const;

  /** Reads the text form; the error kind is `TicketInvalid`. Thread-safe. */
  static core::Result<Ticket> Parse(std::string_view aText);

  bool operator==(const Ticket&) const = default;
};

} // namespace fireflytrail::calls
