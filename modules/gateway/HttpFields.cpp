#include "gateway/HttpFields.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <charconv>
#include <iterator>
#include <string>
#include <vector>

namespace fireflytrail::gateway {

namespace http = boost::beast::http;

void
RemoveHopByHopFields(http::fields& aFields)
{
  std::vector<std::string> listedNames;
  const auto connectionFields = aFields.equal_range(http::field::connection);
  for (auto field = connectionFields.first; field != connectionFields.second;
       ++field) {
    for (const auto& token : http::token_list{ field->value() }) {
      listedNames.emplace_back(token);
    }
  }
  for (const std::string& name : listedNames) {
    aFields.erase(name);
  }
  for (const http::field field : { http::field::connection,
                                   http::field::keep_alive,
                                   http::field::proxy_connection,
                                   http::field::te,
                                   http::field::trailer,
                                   http::field::transfer_encoding,
                                   http::field::upgrade,
                                   http::field::content_length,
                                   http::field::expect }) {
    aFields.erase(field);
  }
}

bool
HasKnownTransferCoding(const http::fields& aFields)
{
  const auto codings = aFields.equal_range(http::field::transfer_encoding);
  return codings.first == codings.second ||
         (std::next(codings.first) == codings.second &&
          boost::beast::iequals(codings.first->value(), "chunked"));
}

bool
IsFinalStatus(unsigned aStatus)
{
  constexpr unsigned kFirstFinal = 200;
  constexpr unsigned kEnd = 600;
  return aStatus >= kFirstFinal && aStatus < kEnd;
}

bool
IsBodilessStatus(unsigned aStatus)
{
  constexpr unsigned kNoContent = 204;
  constexpr unsigned kNotModified = 304;
  return aStatus == kNoContent || aStatus == kNotModified;
}

std::optional<unsigned>
ParseNumberField(const http::fields& aFields,
                 std::string_view aName,
                 bool& aValid)
{
  const auto found = aFields.find(aName);
  if (found == aFields.end()) {
    return std::nullopt;
  }
  constexpr std::size_t kMaxDigits = 9;
  const auto text = found->value();
  unsigned number = 0;
  const auto [end, error] =
    std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc{} || end != text.data() + text.size() ||
      text.size() > kMaxDigits) {
    aValid = false;
    return std::nullopt;
  }
  return number;
}

} // namespace fireflytrail::gateway
