#include "core/Log.h"

#include "core/OutputSink.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <cassert>
#include <chrono>
#include <memory>
#include <utility>

#include <unistd.h>

namespace fireflytrail::core {

namespace {

std::string_view
NameOf(LogLevel aLevel)
{
  switch (aLevel) {
    case LogLevel::Debug:
      return "debug";
    case LogLevel::Info:
      return "info";
    case LogLevel::Warning:
      return "warning";
    case LogLevel::Error:
      break;
  }
  return "error";
}

// Rate limit of a log without its own setting: about 300 lines a second.
constexpr std::size_t kDefaultBytesPerSecond = 65'536;

Log::Sink
StandardOutputSink()
{
  const auto sink =
    std::make_shared<OutputSink>(STDOUT_FILENO, kDefaultBytesPerSecond);
  return [sink](std::string_view aLine) { sink->Write(aLine); };
}

// Longest text of a field in a line. Names of others may be longer, and the
// output drops a line that is too long as a whole.
constexpr std::size_t kMaxTextBytes = 700;

/** Returns the number of bytes that a character takes in a JSON text. */
std::size_t
QuotedSize(char aCharacter)
{
  constexpr std::size_t kEscapedControlCharacter = 6;
  if (static_cast<unsigned char>(aCharacter) < 0x20) {
    return kEscapedControlCharacter;
  }
  return aCharacter == '"' || aCharacter == '\\' ? 2 : 1;
}

/** Returns a text as a JSON literal, cut after a whole character of UTF-8 if it
 * is too long. */
std::string
QuotedField(std::string_view aText)
{
  std::size_t end = 0;
  std::size_t size = 0;
  while (end < aText.size() && size <= kMaxTextBytes) {
    size += QuotedSize(aText[end]);
    ++end;
  }
  if (size <= kMaxTextBytes) {
    return Log::QuotedJson(aText);
  }
  --end;
  const auto isContinuation = [aText](std::size_t aIndex) {
    return (static_cast<unsigned char>(aText[aIndex]) & 0xc0U) == 0x80U;
  };
  while (end > 0 && isContinuation(end)) {
    --end;
  }
  return Log::QuotedJson(fmt::format("{}...", aText.substr(0, end)));
}

struct ValueFormatter
{
  std::string operator()(std::string_view aText) const
  {
    return QuotedField(aText);
  }
  std::string operator()(std::int64_t aNumber) const
  {
    return fmt::format("{}", aNumber);
  }
  std::string operator()(double aNumber) const
  {
    return fmt::format("{:.6g}", aNumber);
  }
  std::string operator()(bool aFlag) const { return aFlag ? "true" : "false"; }
};

} // namespace

Log::Log(LogLevel aLevel)
  : Log(aLevel, StandardOutputSink())
{
}

Log::Log(LogLevel aLevel, Sink aSink)
  : level(aLevel)
  , sink(std::move(aSink))
{
  assert(this->sink);
}

void
Log::Write(LogLevel aLevel,
           std::string_view aEvent,
           std::initializer_list<LogField> aFields) const
{
  assert(!aEvent.empty());
  if (aLevel < this->level) {
    return;
  }
  const auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(
    std::chrono::system_clock::now());
  const auto milliseconds = now.time_since_epoch().count() % 1000;
  std::string line =
    fmt::format(R"({{"time":"{:%Y-%m-%dT%H:%M:%S}.{:03}Z","level":"{}",)"
                R"("event":{})",
                fmt::gmtime(std::chrono::system_clock::to_time_t(now)),
                milliseconds,
                NameOf(aLevel),
                QuotedJson(aEvent));
  for (const LogField& field : aFields) {
    line += fmt::format(",{}:{}",
                        QuotedJson(field.name),
                        std::visit(ValueFormatter{}, field.value));
  }
  line += '}';
  this->sink(line);
}

std::string
Log::QuotedJson(std::string_view aText)
{
  std::string quoted = "\"";
  for (const char character : aText) {
    const auto byte = static_cast<unsigned char>(character);
    if (character == '"' || character == '\\') {
      quoted += '\\';
      quoted += character;
    } else if (byte < 0x20) {
      quoted += fmt::format("\\u{:04x}", byte);
    } else {
      quoted += character;
    }
  }
  quoted += '"';
  return quoted;
}

} // namespace fireflytrail::core
