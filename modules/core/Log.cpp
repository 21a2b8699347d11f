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

struct ValueFormatter
{
  std::string operator()(std::string_view aText) const
  {
    return Log::QuotedJson(aText);
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
