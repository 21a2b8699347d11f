#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace fireflytrail::core {
class Log;
} // namespace fireflytrail::core

namespace fireflytrail::gateway {

/**
 * Describes a caller's connection that ended although a request had begun to
 * arrive on it and was not answered completely.
 */
struct CallerConnectionEnd
{
  /** How far the request had come. */
  enum class Stage : std::uint8_t
  {
    /** Its head had begun to arrive. */
    Head,
    /** Its body was being read. */
    Body,
    /** It had been read and was being handled. */
    Running,
    /** Its answer was being written. */
    Answer,
  };

  /** Who ended the connection. */
  enum class Closer : std::uint8_t
  {
    Caller,
    Daemon,
    TimeLimit,
    Stop,
    Error,
  };

  /** The caller's id of the request; empty if it is not known. */
  std::string id;
  Stage stage = Stage::Head;
  Closer closer = Closer::Error;
  /** Time since the first byte of the request. */
  std::chrono::nanoseconds elapsed{ 0 };

  /** Writes the event `caller_connection_ended`. Thread-safe. */
  void WriteTo(const core::Log& aLog) const;
};

} // namespace fireflytrail::gateway
