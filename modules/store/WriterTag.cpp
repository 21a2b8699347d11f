#include "store/WriterTag.h"

#include <fmt/format.h>

#include <algorithm>
#include <cassert>

namespace fireflytrail::store {

namespace {

constexpr std::string_view kMemberStart = R"({"writer":")";
constexpr std::size_t kHexDigits = 16;

bool
IsEmptyObject(std::string_view aRest)
{
  return aRest.find_first_not_of(" \t\r\n") == aRest.find('}');
}

} // namespace

WriterTag::WriterTag(std::uint64_t aBits)
  : prefix(fmt::format("{}{:016x}\"", kMemberStart, aBits))
{
}

std::string
WriterTag::AddTo(std::string_view aObject) const
{
  assert(aObject.starts_with('{'));
  const std::string_view rest = aObject.substr(1);
  return fmt::format(
    "{}{}{}", this->prefix, IsEmptyObject(rest) ? "" : ",", rest);
}

bool
WriterTag::IsIn(std::string_view aStored) const
{
  return aStored.starts_with(this->prefix);
}

std::string
WriterTag::RemoveFrom(std::string aStored)
{
  const std::size_t end = kMemberStart.size() + kHexDigits;
  const auto isDigit = [](char aCharacter) {
    return (aCharacter >= '0' && aCharacter <= '9') ||
           (aCharacter >= 'a' && aCharacter <= 'f');
  };
  if (!aStored.starts_with(kMemberStart) || aStored.size() <= end ||
      aStored[end] != '"' ||
      !std::all_of(aStored.begin() + kMemberStart.size(),
                   aStored.begin() + end,
                   isDigit)) {
    return aStored;
  }
  const bool hasComma = aStored.size() > end + 1 && aStored[end + 1] == ',';
  aStored.erase(1, end + (hasComma ? 1 : 0));
  return aStored;
}

} // namespace fireflytrail::store
