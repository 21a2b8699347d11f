#pragma once

#include "configuration/Checked.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace fireflytrail::configuration {

/** A JSON value with the line on which it starts. */
struct LocatedValue
{
  /** Type of the value. */
  enum class Kind : std::uint8_t
  {
    Null,
    Boolean,
    Integer,
    Real,
    String,
    Array,
    Object,
  };

  Kind kind = Kind::Null;
  /** Line number, starting at 1. */
  std::size_t line = 0;
  bool flag = false;
  std::int64_t integer = 0;
  /** Set for `Integer` and `Real`. */
  double real = 0;
  std::string text;
  /** Elements of an array, or values of an object in the order of `keys`. */
  std::vector<LocatedValue> items;
  /** Keys of an object in text order; duplicates are kept. */
  std::vector<std::string> keys;

  /**
   * Parses JSON with comments and trailing commas. Reports only the first
   * syntax error, since the text after it cannot be parsed reliably.
   * Thread-safe.
   */
  static Checked<LocatedValue> Parse(std::string_view aText);

  /** Returns the name of a type for error messages. Thread-safe. */
  static std::string_view NameOf(Kind aKind);
};

} // namespace fireflytrail::configuration
