#include "configuration/ObjectReader.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <set>

namespace fireflytrail::configuration {

ObjectReader::ObjectReader(const LocatedValue& aValue,
                           std::string aPath,
                           std::vector<TextError>& aErrors)
  : value(aValue)
  , path(std::move(aPath))
  , errors(aErrors)
{
  if (aValue.kind != LocatedValue::Kind::Object) {
    Report(aValue.line, this->path, "must be an object");
  }
}

const LocatedValue*
ObjectReader::Find(std::string_view aKey)
{
  if (std::ranges::find(this->knownKeys, aKey) == this->knownKeys.end()) {
    this->knownKeys.emplace_back(aKey);
  }
  const auto position = std::ranges::find(this->value.keys, aKey);
  if (position == this->value.keys.end()) {
    return nullptr;
  }
  return &this->value.items[position - this->value.keys.begin()];
}

const LocatedValue*
ObjectReader::FindOrReport(std::string_view aKey, bool aRequired)
{
  const LocatedValue* found = Find(aKey);
  if (found != nullptr && found->kind == LocatedValue::Kind::Null &&
      this->doesNullMeanAbsent) {
    found = nullptr;
  }
  // The constructor has already reported a value that is not an object.
  if (found == nullptr && aRequired &&
      this->value.kind == LocatedValue::Kind::Object) {
    Report(this->value.line, PathOf(aKey), "is required");
  }
  return found;
}

const LocatedValue*
ObjectReader::Container(std::string_view aKey,
                        LocatedValue::Kind aKind,
                        bool aRequired)
{
  const LocatedValue* found = FindOrReport(aKey, aRequired);
  if (found != nullptr && found->kind != aKind) {
    AddError(aKey, fmt::format("must be {}", LocatedValue::NameOf(aKind)));
    return nullptr;
  }
  return found;
}

std::string
ObjectReader::String(std::string_view aKey,
                     const std::optional<std::string>& aDefault,
                     const StringCheck& aCheck)
{
  const LocatedValue* found = FindOrReport(aKey, !aDefault.has_value());
  if (found == nullptr) {
    return aDefault.value_or("");
  }
  if (found->kind != LocatedValue::Kind::String) {
    AddError(aKey, "must be a string");
    return aDefault.value_or("");
  }
  if (aCheck) {
    if (std::string message = aCheck(found->text); !message.empty()) {
      AddError(aKey, std::move(message));
    }
  }
  return found->text;
}

std::int64_t
ObjectReader::Integer(std::string_view aKey,
                      std::int64_t aMinimum,
                      std::int64_t aMaximum,
                      std::optional<std::int64_t> aDefault)
{
  const LocatedValue* found = FindOrReport(aKey, !aDefault.has_value());
  if (found == nullptr) {
    return aDefault.value_or(aMinimum);
  }
  if (found->kind != LocatedValue::Kind::Integer || found->integer < aMinimum ||
      found->integer > aMaximum) {
    AddError(
      aKey,
      fmt::format("must be an integer from {} to {}", aMinimum, aMaximum));
    return aDefault.value_or(aMinimum);
  }
  return found->integer;
}

double
ObjectReader::Number(std::string_view aKey,
                     double aMinimum,
                     double aMaximum,
                     std::optional<double> aDefault)
{
  const LocatedValue* found = FindOrReport(aKey, !aDefault.has_value());
  if (found == nullptr) {
    return aDefault.value_or(aMinimum);
  }
  const bool isNumber = found->kind == LocatedValue::Kind::Integer ||
                        found->kind == LocatedValue::Kind::Real;
  if (!isNumber || found->real < aMinimum || found->real > aMaximum) {
    AddError(aKey,
             fmt::format("must be a number from {} to {}", aMinimum, aMaximum));
    return aDefault.value_or(aMinimum);
  }
  return found->real;
}

bool
ObjectReader::Boolean(std::string_view aKey, std::optional<bool> aDefault)
{
  const LocatedValue* found = FindOrReport(aKey, !aDefault.has_value());
  if (found == nullptr) {
    return aDefault.value_or(false);
  }
  if (found->kind != LocatedValue::Kind::Boolean) {
    AddError(aKey, "must be true or false");
    return aDefault.value_or(false);
  }
  return found->flag;
}

std::vector<std::string>
ObjectReader::StringList(std::string_view aKey,
                         bool aRequired,
                         const StringCheck& aCheck)
{
  const LocatedValue* found =
    Container(aKey, LocatedValue::Kind::Array, aRequired);
  std::vector<std::string> strings;
  if (found == nullptr) {
    return strings;
  }
  for (std::size_t index = 0; index < found->items.size(); ++index) {
    const LocatedValue& item = found->items[index];
    const auto report = [&](std::string aMessage) {
      Report(item.line,
             fmt::format("{}[{}]", PathOf(aKey), index),
             std::move(aMessage));
    };
    if (item.kind != LocatedValue::Kind::String) {
      report("must be a string");
      continue;
    }
    if (std::ranges::find(strings, item.text) != strings.end()) {
      report(fmt::format("\"{}\" is listed twice", item.text));
      continue;
    }
    if (aCheck) {
      if (std::string message = aCheck(item.text); !message.empty()) {
        report(std::move(message));
      }
    }
    strings.push_back(item.text);
  }
  return strings;
}

void
ObjectReader::AddError(std::string_view aKey, std::string aMessage)
{
  const LocatedValue* found = Find(aKey);
  Report(found != nullptr ? found->line : this->value.line,
         PathOf(aKey),
         std::move(aMessage));
}

void
ObjectReader::Finish()
{
  std::set<std::string_view> seen;
  for (std::size_t index = 0; index < this->value.keys.size(); ++index) {
    const std::string& key = this->value.keys[index];
    const std::size_t line = this->value.items[index].line;
    if (!seen.insert(key).second) {
      Report(line, PathOf(key), "is given twice");
    } else if (std::ranges::find(this->knownKeys, key) ==
               this->knownKeys.end()) {
      Report(line,
             PathOf(key),
             fmt::format("unknown key; allowed are {}",
                         fmt::join(this->knownKeys, ", ")));
    }
  }
}

std::string
ObjectReader::PathOf(std::string_view aKey) const
{
  return this->path.empty() ? std::string(aKey)
                            : fmt::format("{}.{}", this->path, aKey);
}

std::optional<std::size_t>
ObjectReader::ChoiceIndex(std::string_view aKey,
                          const std::vector<std::string_view>& aNames,
                          bool aHasDefault)
{
  const LocatedValue* found = FindOrReport(aKey, !aHasDefault);
  if (found == nullptr) {
    return std::nullopt;
  }
  const auto position = std::ranges::find(aNames, found->text);
  if (found->kind != LocatedValue::Kind::String || position == aNames.end()) {
    AddError(aKey,
             fmt::format("must be one of \"{}\"", fmt::join(aNames, "\", \"")));
    return std::nullopt;
  }
  return static_cast<std::size_t>(position - aNames.begin());
}

void
ObjectReader::Report(std::size_t aLine, std::string aPath, std::string aMessage)
{
  this->errors.push_back({ aLine, std::move(aPath), std::move(aMessage) });
}

} // namespace fireflytrail::configuration
