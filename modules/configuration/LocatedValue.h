#pragma once

#include "configuration/Checked.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace fireflytrail::configuration {

/** A JSON value that knows the line it starts on. */
struct LocatedValue
{
  /** Type of the value. */
  enum class Kind : std::uint8_t
  {
    Null,
    Flag,
    Integer,
    Real,
    Text,
    List,
    Object,
  };

  Kind kind = Kind::Null;
  std::size_t line = 0;
  bool flag = false;
  std::int64_t integer = 0;
  /** Set for both kinds of numbers. */
  double real = 0;
  std::string text;
  /** Elements of a list, or values of an object in the order of `names`. */
  std::vector<LocatedValue> items;
  /** Keys of an object in text order; duplicates are kept. */
  std::vector<std::string> names;

  /**
   * Parses JSON with comments and trailing commas. Errors hold the first syntax
   * error only, since what follows it has no reliable meaning. Thread-safe.
   */
  static Checked<LocatedValue> Parse(std::string_view aText);

  /** Returns the type's name for messages. Thread-safe. */
  static std::string_view NameOf(Kind aKind);
};

} // namespace fireflytrail::configuration
