#include "store/JsonText.h"

#include <algorithm>

namespace fireflytrail::store {

namespace {

constexpr std::string_view kSpaces = " \t\r\n";

std::string_view
Trim(std::string_view aText)
{
  const std::size_t begin =
    std::min(aText.find_first_not_of(kSpaces), aText.size());
  aText.remove_prefix(begin);
  aText.remove_suffix(aText.size() - (aText.find_last_not_of(kSpaces) + 1));
  return aText;
}

/**
 * Returns the parts of a text between commas that are not nested; nothing if
 * the brackets are not balanced.
 */
std::optional<std::vector<std::string_view>>
SplitAtCommas(std::string_view aText)
{
  std::vector<std::string_view> parts;
  std::size_t depth = 0;
  std::size_t begin = 0;
  bool isString = false;
  for (std::size_t at = 0; at < aText.size(); ++at) {
    const char character = aText[at];
    if (isString) {
      if (character == '\\') {
        ++at;
      } else if (character == '"') {
        isString = false;
      }
      continue;
    }
    switch (character) {
      case '"':
        isString = true;
        break;
      case '[':
      case '{':
        ++depth;
        break;
      case ']':
      case '}':
        if (depth == 0) {
          return std::nullopt;
        }
        --depth;
        break;
      case ',':
        if (depth == 0) {
          parts.push_back(Trim(aText.substr(begin, at - begin)));
          begin = at + 1;
        }
        break;
      default:
        break;
    }
  }
  if (depth != 0 || isString) {
    return std::nullopt;
  }
  parts.push_back(Trim(aText.substr(begin)));
  return parts;
}

/** Returns the parts within a pair of brackets around a text. */
std::optional<std::vector<std::string_view>>
SplitContainer(std::string_view aText, char aOpening, char aClosing)
{
  const std::string_view text = Trim(aText);
  if (text.size() < 2 || text.front() != aOpening || text.back() != aClosing) {
    return std::nullopt;
  }
  const std::string_view inner = Trim(text.substr(1, text.size() - 2));
  return inner.empty() ? std::vector<std::string_view>{} : SplitAtCommas(inner);
}

} // namespace

std::optional<std::vector<std::string_view>>
JsonText::ElementsOf(std::string_view aArray)
{
  return SplitContainer(aArray, '[', ']');
}

std::optional<std::string_view>
JsonText::MemberOf(std::string_view aObject, std::string_view aName)
{
  const auto members = SplitContainer(aObject, '{', '}');
  if (!members) {
    return std::nullopt;
  }
  std::optional<std::string_view> value;
  for (const std::string_view member : *members) {
    if (!member.starts_with('"') || member.substr(1, aName.size()) != aName ||
        member.substr(std::min(aName.size() + 1, member.size()), 1) != "\"") {
      continue;
    }
    const std::string_view rest = Trim(member.substr(aName.size() + 2));
    if (rest.starts_with(':')) {
      value = Trim(rest.substr(1));
    }
  }
  return value;
}

} // namespace fireflytrail::store
