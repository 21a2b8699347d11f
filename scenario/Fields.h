#pragma once

#include <boost/json/object.hpp>

#include <chrono>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace fireflytrail::scenario {

/**
 * Reads the fields of one object of a script. A field of a wrong type and a
 * field that is never read are errors, so that a misspelled bound cannot pass.
 * All methods throw `std::runtime_error` that names the field.
 */
class Fields
{
public:
  /** `aWhere` names the object in messages. The object must outlive this. */
  Fields(const boost::json::object& aObject, std::string aWhere);

  bool Has(const std::string& aKey) const;
  double Number(const std::string& aKey, std::optional<double> aDefault = {});
  bool Flag(const std::string& aKey);
  std::string Text(const std::string& aKey,
                   std::optional<std::string> aDefault = {});
  /** Reads a list of texts; empty if it is missing. */
  std::vector<std::string> Texts(const std::string& aKey);
  std::chrono::microseconds Milliseconds(const std::string& aKey,
                                         std::optional<double> aDefault = {});
  std::chrono::microseconds Microseconds(const std::string& aKey,
                                         std::optional<double> aDefault = {});
  /** Reads an object or an array; null if it is missing. */
  const boost::json::value& Value(const std::string& aKey);

  /** Throws if a field was not read. */
  void Finish() const;

private:
  const boost::json::value* Find(const std::string& aKey);
  [[noreturn]] void Fail(const std::string& aKey, const char* aWhat) const;

  const boost::json::object& object;
  std::string where;
  std::set<std::string, std::less<>> read;
};

} // namespace fireflytrail::scenario
