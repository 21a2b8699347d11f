#pragma once

#include "core/ErrorKind.h"

#include <cstdint>
#include <span>
#include <string_view>

namespace fireflytrail::core {

/** Whether a server ran a call, as far as the entry daemon knows. */
enum class CallOutcome : std::uint8_t
{
  Complete,
  NotRun,
  Unknown,
};

/** Whether a caller may send the same call again. */
enum class ResendRule : std::uint8_t
{
  Never,
  /** Only if the call is repeatable or carries a ticket. */
  IfSafe,
  Always,
};

/** Whether the entry daemon itself may send the call to another server. */
enum class RetryRule : std::uint8_t
{
  Never,
  /** Only if the operators' text marks the call as repeatable. */
  IfRepeatable,
  Always,
};

/** The answer for one error kind. */
struct ErrorRow
{
  ErrorKind kind;
  /** Value of the `Error-Kind` header field, in snake case. */
  std::string_view name;
  /** HTTP status; 0 for `None`, where the server's own status is passed on. */
  unsigned status;
  CallOutcome outcome;
  ResendRule callerMayResend;
  RetryRule gatewayMayRetry;
};

/**
 * Maps each error kind to an answer. Has one row for each kind, in the order of
 * the enumeration.
 */
class ErrorTable
{
public:
  /**
   * Returns the row of a kind. `aKind` must be an enumerator of `ErrorKind`.
   * Thread-safe.
   */
  static const ErrorRow& RowOf(ErrorKind aKind);

  /** Returns all rows. Thread-safe. */
  static std::span<const ErrorRow> Rows();

  /** Returns the `Call-Outcome` field value of an outcome. Thread-safe. */
  static std::string_view NameOf(CallOutcome aOutcome);
};

} // namespace fireflytrail::core
