#pragma once

#include <cstddef>
#include <string>

namespace fireflytrail::configuration {

/** One mistake in a text, for the person who wrote the text. */
struct TextError
{
  /** Line number, starting at 1. */
  std::size_t line = 0;
  /** Names of the keys down to the value, for example `services.a.slots`. */
  std::string path;
  /** What is wrong and what is allowed. */
  std::string message;

  /** Returns `line N: PATH: MESSAGE`. Thread-safe. */
  std::string ToString() const;

  bool operator==(const TextError&) const = default;
};

} // namespace fireflytrail::configuration
