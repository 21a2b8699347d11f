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

/** One named value of a log line. The views must outlive the `Write` call. */
struct LogField
{
  std::string_view name;
  std::variant<std::string_view, std::int64_t, double, bool> value;
};

/**
 * Writes one JSON object per line with time, level, event name and fields. Each
 * kind of event has one fixed name.
 */
class Log
{
public:
  /** Receives one complete line without its line break. */
  using Sink = std::function<void(std::string_view)>;

  /** Creates a log that writes to standard output through an `OutputSink`. */
  explicit Log(LogLevel aLevel = LogLevel::Info);

  /** Creates a log that writes to a sink. The sink must be thread-safe. */
  Log(LogLevel aLevel, Sink aSink);

  /**
   * Writes a line unless its level is below the log's level. A text of more
   * than about 700 bytes is cut and ends with three dots. Thread-safe. `aEvent`
   * must not be empty.
   */
  void Write(LogLevel aLevel,
             std::string_view aEvent,
             std::initializer_list<LogField> aFields = {}) const;

  /** Returns the text as a quoted JSON string literal. Thread-safe. */
  static std::string QuotedJson(std::string_view aText);

private:
  LogLevel level;
  Sink sink;
};

} // namespace fireflytrail::core
