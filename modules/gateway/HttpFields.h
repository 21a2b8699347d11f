#pragma once

#include <boost/beast/http/fields.hpp>

#include <chrono>
#include <optional>
#include <string_view>

namespace fireflytrail::gateway {

inline constexpr std::string_view kDeadlineField = "Deadline-Ms";
inline constexpr std::string_view kTicketField = "Ticket";
inline constexpr std::string_view kAttemptField = "Attempt";
inline constexpr std::string_view kDepthField = "Call-Depth";
inline constexpr std::string_view kOutcomeField = "Call-Outcome";
inline constexpr std::string_view kErrorKindField = "Error-Kind";
inline constexpr std::string_view kMayResendField = "May-Resend";
inline constexpr std::string_view kServerLoadField = "Server-Load";

/**
 * Removes the hop-by-hop fields, including those that a Connection field lists,
 * and the message framing fields. Not thread-safe.
 */
void
RemoveHopByHopFields(boost::beast::http::fields& aFields);

/**
 * Returns whether the message has no transfer coding, or only the chunked one.
 * The end of a body with another coding, or the body itself, is not known. Not
 * thread-safe.
 */
bool
HasKnownTransferCoding(const boost::beast::http::fields& aFields);

/**
 * Returns whether a status ends an exchange: one of the five classes of HTTP
 * except the informational ones, which precede an answer. Thread-safe.
 */
bool
IsFinalStatus(unsigned aStatus);

/** Returns whether answers of this status never have a body. Thread-safe. */
bool
IsBodilessStatus(unsigned aStatus);

/**
 * Returns the value of a field as a non-negative integer, or nothing if the
 * field is absent. Sets `aValid` to false if the field is present but not a
 * number of at most nine digits. Not thread-safe.
 */
std::optional<unsigned>
ParseNumberField(const boost::beast::http::fields& aFields,
                 std::string_view aName,
                 bool& aValid);

} // namespace fireflytrail::gateway
