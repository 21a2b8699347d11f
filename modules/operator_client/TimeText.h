#pragma once

#include "core/Hooks.h"

#include <optional>
#include <string>
#include <string_view>

namespace fireflytrail::operator_client {

/**
 * Parses the time by which a move is to be done: a UTC time such as
 * `2026-12-04T10:30:00Z`, or a time relative to `aNow` of at most 30 days, such
 * as `+90s`, `+30m` or `+2h`. Returns nothing for any other text. Thread-safe.
 */
std::optional<core::WallTimePoint>
ParseTime(std::string_view aText, core::WallTimePoint aNow);

/** Returns a time in the form `2026-12-04T10:30:00Z`. Thread-safe. */
std::string
FormatTime(core::WallTimePoint aTime);

} // namespace fireflytrail::operator_client
