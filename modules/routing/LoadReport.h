#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fireflytrail::routing {

/** State that a server reports about itself. */
enum class ReportedState : std::uint8_t
{
  Ready,
  Cold,
  Draining,
};

/**
 * Content of the `Server-Load` header of a server's answer, for example
 * `in_flight=2, slots=4, start=5f3a, state=ready`.
 */
struct LoadReport
{
  std::uint32_t inFlight = 0;
  std::uint32_t slots = 0;
  /** Identifies one start of the server process, so that a restart is visible.
   * Hexadecimal in the header. */
  std::uint64_t start = 0;
  ReportedState state = ReportedState::Ready;

  bool operator==(const LoadReport&) const = default;

  /**
   * Parses a header value. All four fields must be present exactly once, in any
   * order; unknown fields are ignored. Returns nothing for any other text,
   * since using a wrong load is worse than having none. Does not allocate.
   * Thread-safe.
   */
  static std::optional<LoadReport> Parse(std::string_view aValue);

  /** Returns the header value of this report. Thread-safe. */
  std::string Format() const;
};

} // namespace fireflytrail::routing
