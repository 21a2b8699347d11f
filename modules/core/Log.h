#pragma once

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace fireflytrail::core {

/** Severity of a log line. */
enum class LogLevel : std::uint8_t
{
  Debug,
  Info,
  Warning,
  Error,
};

/** One named value of a log line. The views must outlive the call. */
struct LogField
{
  std::string_view name;
  std::variant<std::string_view, std::int64_t, double, bool> value;
};

/**
 * Writes one JSON object a line: time, level, event name and fields. Each kind
 * of event has one fixed name.
 */
class Log
{
public:
  /** Receives one finished line without its line break. */
  using Sink = std::function<void(std::string_view)>;

  /** Makes a log that writes to standard output; see `OutputSink`. */
  explicit Log(LogLevel aLevel = LogLevel::Info);

  /** Makes a log that writes to a sink. The sink must be thread-safe. */
  Log(LogLevel aLevel, Sink aSink);

  /**
   * Writes a line unless its level is below the log's. Thread-safe.
   * `aEvent` must not be empty.
   */
  void Write(LogLevel aLevel,
             std::string_view aEvent,
             std::initializer_list<LogField> aFields = {}) const;

  /** Returns the text as a JSON string literal with quotes. Thread-safe. */
  static std::string QuotedJson(std::string_view aText);

private:
  LogLevel level;
  Sink sink;
};

} // namespace fireflytrail::core
