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
 * Reads and checks the values of one JSON object. Each error is appended to a
 * list and reading continues, so that one pass finds all errors. A key without
 * a default is required. Not thread-safe.
 */
class ObjectReader
{
public:
  /** Returns an error message, or an empty string if the string is valid. */
  using StringCheck = std::function<std::string(const std::string&)>;

  /**
   * Adds an error if `aValue` is not an object. `aValue` and `aErrors` must
   * outlive the reader.
   */
  ObjectReader(const LocatedValue& aValue,
               std::string aPath,
               std::vector<TextError>& aErrors);

  /** Makes a key with the value `null` count as absent from now on. */
  void TreatNullAsAbsent() { this->doesNullMeanAbsent = true; }

  /** Returns the value of a key, or null if it is absent. */
  const LocatedValue* Find(std::string_view aKey);

  /** Returns the value of a key if it has the type `aKind`, which is an object
   * or an array, otherwise null. */
  const LocatedValue* Container(std::string_view aKey,
                                LocatedValue::Kind aKind,
                                bool aRequired);

  /** Returns a string. A string that fails the check is an error. */
  std::string String(std::string_view aKey,
                     const std::optional<std::string>& aDefault = {},
                     const StringCheck& aCheck = {});

  /** Returns an integer. The bounds are inclusive. */
  std::int64_t Integer(std::string_view aKey,
                       std::int64_t aMinimum,
                       std::int64_t aMaximum,
                       std::optional<std::int64_t> aDefault = {});

  /** Returns a number. The bounds are inclusive. */
  double Number(std::string_view aKey,
                double aMinimum,
                double aMaximum,
                std::optional<double> aDefault = {});

  bool Boolean(std::string_view aKey, std::optional<bool> aDefault = {});

  /** Returns the enumerator for the name that is the value of a key. */
  template<typename Enum>
  Enum Choice(std::string_view aKey,
              std::initializer_list<std::pair<std::string_view, Enum>> aChoices,
              std::optional<Enum> aDefault = {})
  {
    std::vector<std::string_view> names;
    for (const auto& [name, value] : aChoices) {
      names.push_back(name);
    }
    const auto index = ChoiceIndex(aKey, names, aDefault.has_value());
    return index ? (aChoices.begin() + *index)->second
                 : aDefault.value_or(aChoices.begin()->second);
  }

  /** Returns an array of strings. Duplicates, which are skipped, and strings
   * that fail the check are errors. */
  std::vector<std::string> StringList(std::string_view aKey,
                                      bool aRequired,
                                      const StringCheck& aCheck = {});

  /** Adds an error for a key at its line, or at the object's line if the key is
   * absent. */
  void AddError(std::string_view aKey, std::string aMessage);

  /** Adds an error for every unknown key, which is one that was not read
   * before, and for every duplicate key. To be called last. */
  void Finish();

  /** Returns the path of a key, for example `services.a.slots`. */
  std::string PathOf(std::string_view aKey) const;

private:
  std::optional<std::size_t> ChoiceIndex(
    std::string_view aKey,
    const std::vector<std::string_view>& aNames,
    bool aHasDefault);
  const LocatedValue* FindOrReport(std::string_view aKey, bool aRequired);
  void Report(std::size_t aLine, std::string aPath, std::string aMessage);

  const LocatedValue& value;
  std::string path;
  std::vector<TextError>& errors;
  std::vector<std::string> knownKeys;
  bool doesNullMeanAbsent = false;
};

} // namespace fireflytrail::configuration
