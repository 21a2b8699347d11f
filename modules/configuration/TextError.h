#pragma once

#include <cstddef>
#include <string>

namespace fireflytrail::configuration {

/** One error in a text, reported to the person who wrote the text. */
struct TextError
{
  /** Line number, starting at 1; 0 if the error has no line. */
  std::size_t line = 0;
  /** Keys from the root to the value, for example `services.a.slots`. */
  std::string path;
  /** What is wrong and what is allowed. */
  std::string message;

  /** Returns `line N: PATH: MESSAGE`, without the path if it is empty.
   * Thread-safe. */
  std::string ToString() const;

  bool operator==(const TextError&) const = default;
};

} // namespace fireflytrail::configuration
