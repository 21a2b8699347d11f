#include "operator_client/TimeText.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <charconv>
#include <chrono>
#include <cstdint>

namespace fireflytrail::operator_client {

namespace {

constexpr std::int64_t kMaxRelativeSeconds = std::int64_t{ 30 } * 24 * 3600;

std::optional<int>
ParseDigits(std::string_view aText)
{
  int number = 0;
  const char* end = aText.data() + aText.size();
  const auto [rest, error] = std::from_chars(aText.data(), end, number);
  // `from_chars` accepts a minus sign.
  if (aText.empty() || aText.front() == '-' || error != std::errc() ||
      rest != end) {
    return std::nullopt;
  }
  return number;
}

std::optional<core::WallTimePoint>
ParseRelativeTime(std::string_view aText, core::WallTimePoint aNow)
{
  if (aText.size() < 2) {
    return std::nullopt;
  }
  std::int64_t unit = 0;
  switch (aText.back()) {
    case 's':
      unit = 1;
      break;
    case 'm':
      unit = 60;
      break;
    case 'h':
      unit = 3600;
      break;
    default:
      return std::nullopt;
  }
  aText.remove_suffix(1);
  const auto count = ParseDigits(aText);
  if (!count || *count * unit > kMaxRelativeSeconds) {
    return std::nullopt;
  }
  return aNow + std::chrono::seconds(*count * unit);
}

} // namespace

std::optional<core::WallTimePoint>
ParseTime(std::string_view aText, core::WallTimePoint aNow)
{
  if (aText.starts_with('+')) {
    return ParseRelativeTime(aText.substr(1), aNow);
  }
  constexpr std::string_view kPattern = "0000-00-00T00:00:00Z";
  if (aText.size() != kPattern.size()) {
    return std::nullopt;
  }
  for (std::size_t index = 0; index < kPattern.size(); ++index) {
    if (kPattern[index] != '0' && aText[index] != kPattern[index]) {
      return std::nullopt;
    }
  }
  const auto year = ParseDigits(aText.substr(0, 4));
  const auto month = ParseDigits(aText.substr(5, 2));
  const auto day = ParseDigits(aText.substr(8, 2));
  const auto hour = ParseDigits(aText.substr(11, 2));
  const auto minute = ParseDigits(aText.substr(14, 2));
  const auto second = ParseDigits(aText.substr(17, 2));
  if (!year || !month || !day || !hour || !minute || !second) {
    return std::nullopt;
  }
  const std::chrono::year_month_day date{
    std::chrono::year(*year),
    std::chrono::month(static_cast<unsigned>(*month)),
    std::chrono::day(static_cast<unsigned>(*day))
  };
  if (!date.ok() || *hour > 23 || *minute > 59 || *second > 59) {
    return std::nullopt;
  }
  return std::chrono::sys_days(date) + std::chrono::hours(*hour) +
         std::chrono::minutes(*minute) + std::chrono::seconds(*second);
}

std::string
FormatTime(core::WallTimePoint aTime)
{
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}Z",
                     fmt::gmtime(std::chrono::system_clock::to_time_t(aTime)));
}

} // namespace fireflytrail::operator_client
