#pragma once

#include <boost/json/object.hpp>

#include <chrono>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace fireflytrail::scenario {

/**
 * Reads the fields of one JSON object of a script. Fields of the wrong type and
 * fields that are never read are errors; otherwise a misspelled bound would be
 * ignored and its expectation would pass. All errors are thrown as
 * `std::runtime_error` with the name of the field.
 */
class Fields
{
public:
  /**
   * `aContext` names the object in error messages. The object must outlive
   * this reader.
   */
  Fields(const boost::json::object& aObject, std::string aContext);

  bool Has(const std::string& aKey) const;
  double Number(const std::string& aKey, std::optional<double> aDefault = {});
  bool Flag(const std::string& aKey);
  std::string String(const std::string& aKey,
                     std::optional<std::string> aDefault = {});
  /** Reads an array of strings; empty if the field is missing. */
  std::vector<std::string> Strings(const std::string& aKey);
  std::chrono::microseconds Milliseconds(const std::string& aKey,
                                         std::optional<double> aDefault = {});
  std::chrono::microseconds Microseconds(const std::string& aKey,
                                         std::optional<double> aDefault = {});
  /** Returns the value of a field; JSON null if it is missing. */
  const boost::json::value& Value(const std::string& aKey);

  /** Throws if the object has a field that was not read. */
  void CheckAllRead() const;

private:
  const boost::json::value* Find(const std::string& aKey);
  [[noreturn]] void Fail(const std::string& aKey, const char* aWhat) const;

  const boost::json::object& object;
  std::string context;
  std::set<std::string, std::less<>> readKeys;
};

} // namespace fireflytrail::scenario
