#pragma once

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

namespace fireflytrail::store {

/**
 * Finds parts of a JSON text without parsing it as a whole, so that one part
 * that cannot be parsed, for example because it is nested too deeply, does not
 * hide the others. Does not check what lies within the parts. The time is
 * linear and no recursion is used. Thread-safe.
 */
class JsonText
{
public:
  /**
   * Returns the texts of the elements of an array; nothing if the text is not
   * an array with balanced brackets.
   */
  static std::optional<std::vector<std::string_view>> ElementsOf(
    std::string_view aArray);

  /**
   * Returns the text of an object's member; nothing if there is none or the
   * text is not an object with balanced brackets. Of several members of that
   * name, the last one counts. Names with escapes are not found.
   */
  static std::optional<std::string_view> MemberOf(std::string_view aObject,
                                                  std::string_view aName);
};

} // namespace fireflytrail::store
