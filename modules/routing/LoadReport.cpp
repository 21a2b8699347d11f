#include "routing/LoadReport.h"

#include <fmt/format.h>

#include <charconv>

namespace fireflytrail::routing {

namespace {

std::string_view
Trimmed(std::string_view aText)
{
  const auto first = aText.find_first_not_of(" \t");
  if (first == std::string_view::npos) {
    return {};
  }
  const auto last = aText.find_last_not_of(" \t");
  return aText.substr(first, last - first + 1);
}

template<typename Number>
bool
ParseNumber(std::string_view aText, int aBase, Number& aNumber)
{
  const char* const end = aText.data() + aText.size();
  const auto [stop, error] = std::from_chars(aText.data(), end, aNumber, aBase);
  return error == std::errc{} && stop == end;
}

bool
ParseState(std::string_view aText, ReportedState& aState)
{
  if (aText == "ready") {
    aState = ReportedState::Ready;
  } else if (aText == "cold") {
    aState = ReportedState::Cold;
  } else if (aText == "draining") {
    aState = ReportedState::Draining;
  } else {
    return false;
  }
  return true;
}

std::string_view
NameOf(ReportedState aState)
{
  switch (aState) {
    case ReportedState::Ready:
      return "ready";
    case ReportedState::Cold:
      return "cold";
    case ReportedState::Draining:
      break;
  }
  return "draining";
}

} // namespace

std::optional<LoadReport>
LoadReport::Parse(std::string_view aValue)
{
  constexpr unsigned kAllFields = 0xF;
  LoadReport report;
  unsigned seen = 0;
  while (!aValue.empty()) {
    const auto comma = aValue.find(',');
    const std::string_view field = Trimmed(aValue.substr(0, comma));
    aValue = comma == std::string_view::npos ? std::string_view{}
                                             : aValue.substr(comma + 1);
    const auto equals = field.find('=');
    if (equals == std::string_view::npos) {
      return std::nullopt;
    }
    const std::string_view name = field.substr(0, equals);
    const std::string_view value = field.substr(equals + 1);
    unsigned bit = 0;
    bool valid = true;
    if (name == "in_flight") {
      bit = 1;
      valid = ParseNumber(value, 10, report.inFlight);
    } else if (name == "slots") {
      bit = 2;
      valid = ParseNumber(value, 10, report.slots);
    } else if (name == "start") {
      bit = 4;
      valid = ParseNumber(value, 16, report.start);
    } else if (name == "state") {
      bit = 8;
      valid = ParseState(value, report.state);
    }
    if (!valid || (seen & bit) != 0) {
      return std::nullopt;
    }
    seen |= bit;
  }
  if (seen != kAllFields) {
    return std::nullopt;
  }
  return report;
}

std::string
LoadReport::Format() const
{
  return fmt::format("in_flight={}, slots={}, start={:x}, state={}",
                     this->inFlight,
                     this->slots,
                     this->start,
                     NameOf(this->state));
}

} // namespace fireflytrail::routing
