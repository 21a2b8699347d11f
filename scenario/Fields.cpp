#include "scenario/Fields.h"

#include <boost/json/array.hpp>
#include <boost/json/value.hpp>
#include <fmt/format.h>

#include <stdexcept>

namespace fireflytrail::scenario {

Fields::Fields(const boost::json::object& aObject, std::string aContext)
  : object(aObject)
  , context(std::move(aContext))
{
}

bool
Fields::Has(const std::string& aKey) const
{
  return this->object.contains(aKey);
}

double
Fields::Number(const std::string& aKey, std::optional<double> aDefault)
{
  const boost::json::value* value = this->Find(aKey);
  if (value == nullptr && aDefault) {
    return *aDefault;
  }
  if (value == nullptr || !value->is_number()) {
    this->Fail(aKey, "must be a number");
  }
  return value->to_number<double>();
}

bool
Fields::Flag(const std::string& aKey)
{
  const boost::json::value* value = this->Find(aKey);
  if (value != nullptr && !value->is_bool()) {
    this->Fail(aKey, "must be true or false");
  }
  return value != nullptr && value->as_bool();
}

std::string
Fields::String(const std::string& aKey, std::optional<std::string> aDefault)
{
  const boost::json::value* value = this->Find(aKey);
  if (value == nullptr && aDefault) {
    return *aDefault;
  }
  if (value == nullptr || !value->is_string()) {
    this->Fail(aKey, "must be a string");
  }
  return std::string(value->as_string());
}

std::vector<std::string>
Fields::Strings(const std::string& aKey)
{
  std::vector<std::string> strings;
  const boost::json::value* value = this->Find(aKey);
  if (value == nullptr) {
    return strings;
  }
  if (!value->is_array()) {
    this->Fail(aKey, "must be an array");
  }
  for (const boost::json::value& element : value->as_array()) {
    if (!element.is_string()) {
      this->Fail(aKey, "must be an array of strings");
    }
    strings.emplace_back(element.as_string());
  }
  return strings;
}

std::chrono::microseconds
Fields::Milliseconds(const std::string& aKey, std::optional<double> aDefault)
{
  return std::chrono::microseconds(
    static_cast<std::int64_t>(this->Number(aKey, aDefault) * 1000.0));
}

std::chrono::microseconds
Fields::Microseconds(const std::string& aKey, std::optional<double> aDefault)
{
  return std::chrono::microseconds(
    static_cast<std::int64_t>(this->Number(aKey, aDefault)));
}

const boost::json::value&
Fields::Value(const std::string& aKey)
{
  static const boost::json::value kNull;
  const boost::json::value* value = this->Find(aKey);
  return value != nullptr ? *value : kNull;
}

void
Fields::CheckAllRead() const
{
  for (const auto& field : this->object) {
    if (!this->readKeys.contains(std::string_view(field.key()))) {
      this->Fail(std::string(field.key()), "is unknown");
    }
  }
}

const boost::json::value*
Fields::Find(const std::string& aKey)
{
  this->readKeys.insert(aKey);
  return this->object.if_contains(aKey);
}

void
Fields::Fail(const std::string& aKey, const char* aWhat) const
{
  throw std::runtime_error(
    fmt::format("{}: field \"{}\" {}", this->context, aKey, aWhat));
}

} // namespace fireflytrail::scenario
