#pragma once

#include "configuration/LocatedValue.h"

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace fireflytrail::configuration {

/**
 * Reads the keys of one JSON object with checks. Each mistake is added to a
 * list and reading goes on, so that one pass finds all of them. A default that
 * is absent makes the key required.
 */
class ObjectReader
{
public:
  /** Checks a string and returns what is wrong with it, or an empty string. */
  using TextCheck = std::function<std::string(const std::string&)>;

  /**
   * Starts reading. `aValue` and `aErrors` must outlive the reader. A value
   * that is not an object is an error. Not thread-safe.
   */
  ObjectReader(const LocatedValue& aValue,
               std::string aPath,
               std::vector<TextError>& aErrors);

  /** Returns the value of a key, or null when it is absent. */
  const LocatedValue* Find(std::string_view aName);

  /** Returns the value of a key that must be an object or a list, or null. */
  const LocatedValue* Container(std::string_view aName,
                                LocatedValue::Kind aKind,
                                bool aRequired);

  /** Returns a string that passes the check. */
  std::string Text(std::string_view aName,
                   const std::optional<std::string>& aDefault = {},
                   const TextCheck& aCheck = {});

  /** Returns an integer between the bounds, both included. */
  std::int64_t Integer(std::string_view aName,
                       std::int64_t aLeast,
                       std::int64_t aLargest,
                       std::optional<std::int64_t> aDefault = {});

  /** Returns a number between the bounds, both included. */
  double Number(std::string_view aName,
                double aLeast,
                double aLargest,
                std::optional<double> aDefault = {});

  /** Returns a truth value. */
  bool Flag(std::string_view aName, std::optional<bool> aDefault = {});

  /** Returns the enumerator that belongs to one of the listed names. */
  template<typename Enum>
  Enum Choice(std::string_view aName,
              std::initializer_list<std::pair<std::string_view, Enum>> aChoices,
              std::optional<Enum> aDefault = {})
  {
    std::vector<std::string_view> names;
    for (const auto& [name, value] : aChoices) {
      names.push_back(name);
    }
    const auto index = ChoiceIndex(aName, names, aDefault.has_value());
    return index ? (aChoices.begin() + *index)->second
                 : aDefault.value_or(aChoices.begin()->second);
  }

  /** Returns a list of strings with no duplicates, each passing the check. */
  std::vector<std::string> TextList(std::string_view aName,
                                    bool aRequired,
                                    const TextCheck& aCheck = {});

  /** Adds an error for a key, at the key's line or at the object's. */
  void AddError(std::string_view aName, std::string aMessage);

  /** Reports every key that was not asked for and every duplicate key. */
  void Finish();

  /** Returns the path of a key of this object. */
  std::string PathOf(std::string_view aName) const;

private:
  std::optional<std::size_t> ChoiceIndex(
    std::string_view aName,
    const std::vector<std::string_view>& aNames,
    bool aHasDefault);
  const LocatedValue* FindOrReport(std::string_view aName, bool aRequired);
  void Report(std::size_t aLine, std::string aPath, std::string aMessage);

  const LocatedValue& value;
  std::string path;
  std::vector<TextError>& errors;
  std::vector<std::string> known;
};

} // namespace fireflytrail::configuration
