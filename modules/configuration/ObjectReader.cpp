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
ObjectReader::Find(std::string_view aName)
{
  if (std::ranges::find(this->known, aName) == this->known.end()) {
    this->known.emplace_back(aName);
  }
  const auto position = std::ranges::find(this->value.names, aName);
  if (position == this->value.names.end()) {
    return nullptr;
  }
  return &this->value.items[position - this->value.names.begin()];
}

const LocatedValue*
ObjectReader::FindOrReport(std::string_view aName, bool aRequired)
{
  const LocatedValue* found = Find(aName);
  // A value that is no object was already reported by the constructor.
  if (found == nullptr && aRequired &&
      this->value.kind == LocatedValue::Kind::Object) {
    Report(this->value.line, PathOf(aName), "is required");
  }
  return found;
}

const LocatedValue*
ObjectReader::Container(std::string_view aName,
                        LocatedValue::Kind aKind,
                        bool aRequired)
{
  const LocatedValue* found = FindOrReport(aName, aRequired);
  if (found != nullptr && found->kind != aKind) {
    AddError(aName, fmt::format("must be {}", LocatedValue::NameOf(aKind)));
    return nullptr;
  }
  return found;
}

std::string
ObjectReader::Text(std::string_view aName,
                   const std::optional<std::string>& aDefault,
                   const TextCheck& aCheck)
{
  const LocatedValue* found = FindOrReport(aName, !aDefault.has_value());
  if (found == nullptr) {
    return aDefault.value_or("");
  }
  if (found->kind != LocatedValue::Kind::Text) {
    AddError(aName, "must be a string");
    return aDefault.value_or("");
  }
  if (aCheck) {
    if (std::string mistake = aCheck(found->text); !mistake.empty()) {
      AddError(aName, std::move(mistake));
    }
  }
  return found->text;
}

std::int64_t
ObjectReader::Integer(std::string_view aName,
                      std::int64_t aLeast,
                      std::int64_t aLargest,
                      std::optional<std::int64_t> aDefault)
{
  const LocatedValue* found = FindOrReport(aName, !aDefault.has_value());
  if (found == nullptr) {
    return aDefault.value_or(aLeast);
  }
  if (found->kind != LocatedValue::Kind::Integer || found->integer < aLeast ||
      found->integer > aLargest) {
    AddError(aName,
             fmt::format("must be an integer from {} to {}", aLeast, aLargest));
    return aDefault.value_or(aLeast);
  }
  return found->integer;
}

double
ObjectReader::Number(std::string_view aName,
                     double aLeast,
                     double aLargest,
                     std::optional<double> aDefault)
{
  const LocatedValue* found = FindOrReport(aName, !aDefault.has_value());
  if (found == nullptr) {
    return aDefault.value_or(aLeast);
  }
  const bool isNumber = found->kind == LocatedValue::Kind::Integer ||
                        found->kind == LocatedValue::Kind::Real;
  if (!isNumber || found->real < aLeast || found->real > aLargest) {
    AddError(aName,
             fmt::format("must be a number from {} to {}", aLeast, aLargest));
    return aDefault.value_or(aLeast);
  }
  return found->real;
}

bool
ObjectReader::Flag(std::string_view aName, std::optional<bool> aDefault)
{
  const LocatedValue* found = FindOrReport(aName, !aDefault.has_value());
  if (found == nullptr) {
    return aDefault.value_or(false);
  }
  if (found->kind != LocatedValue::Kind::Flag) {
    AddError(aName, "must be true or false");
    return aDefault.value_or(false);
  }
  return found->flag;
}

std::vector<std::string>
ObjectReader::TextList(std::string_view aName,
                       bool aRequired,
                       const TextCheck& aCheck)
{
  const LocatedValue* found =
    Container(aName, LocatedValue::Kind::List, aRequired);
  std::vector<std::string> texts;
  if (found == nullptr) {
    return texts;
  }
  for (std::size_t index = 0; index < found->items.size(); ++index) {
    const LocatedValue& item = found->items[index];
    const auto report = [&](std::string aMessage) {
      Report(item.line,
             fmt::format("{}[{}]", PathOf(aName), index),
             std::move(aMessage));
    };
    if (item.kind != LocatedValue::Kind::Text) {
      report("must be a string");
      continue;
    }
    if (std::ranges::find(texts, item.text) != texts.end()) {
      report(fmt::format("\"{}\" is listed twice", item.text));
      continue;
    }
    if (aCheck) {
      if (std::string mistake = aCheck(item.text); !mistake.empty()) {
        report(std::move(mistake));
      }
    }
    texts.push_back(item.text);
  }
  return texts;
}

void
ObjectReader::AddError(std::string_view aName, std::string aMessage)
{
  const LocatedValue* found = Find(aName);
  Report(found != nullptr ? found->line : this->value.line,
         PathOf(aName),
         std::move(aMessage));
}

void
ObjectReader::Finish()
{
  std::set<std::string_view> seen;
  for (std::size_t index = 0; index < this->value.names.size(); ++index) {
    const std::string& name = this->value.names[index];
    const std::size_t line = this->value.items[index].line;
    if (!seen.insert(name).second) {
      Report(line, PathOf(name), "is given twice");
    } else if (std::ranges::find(this->known, name) == this->known.end()) {
      Report(line,
             PathOf(name),
             fmt::format("unknown key; allowed are {}",
                         fmt::join(this->known, ", ")));
    }
  }
}

std::string
ObjectReader::PathOf(std::string_view aName) const
{
  return this->path.empty() ? std::string(aName)
                            : fmt::format("{}.{}", this->path, aName);
}

std::optional<std::size_t>
ObjectReader::ChoiceIndex(std::string_view aName,
                          const std::vector<std::string_view>& aNames,
                          bool aHasDefault)
{
  const LocatedValue* found = FindOrReport(aName, !aHasDefault);
  if (found == nullptr) {
    return std::nullopt;
  }
  const auto position = std::ranges::find(aNames, found->text);
  if (found->kind != LocatedValue::Kind::Text || position == aNames.end()) {
    AddError(aName,
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
