#pragma once

#include "core/Hooks.h"

#include <optional>
#include <string>
#include <string_view>

namespace fireflytrail::operator_client {

/**
 * Parses a set time: UTC as `2026-12-04T10:30:00Z`, or a time from now as
 * `+90s`, `+30m` or `+2h`, at most 30 days. Thread-safe.
 */
std::optional<core::WallTimePoint>
ParseTime(std::string_view aText, core::WallTimePoint aNow);

/** Returns the first form that `ParseTime` accepts. Thread-safe. */
std::string
FormatTime(core::WallTimePoint aTime);

} // namespace fireflytrail::operator_client
