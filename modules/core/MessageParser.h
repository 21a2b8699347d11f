#pragma once

#include <boost/beast/core/string_type.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstddef>
#include <cstdint>
#include <limits>
#include <string_view>

namespace fireflytrail::core {

/**
 * A parser of HTTP requests or responses whose head and trailers cannot make
 * the container of their fields throw. That container holds names and values of
 * a limited size, and the limit of the head, which applies to the bytes that
 * are received together, may let longer ones through. Such a message ends with
 * `http::error::header_limit`.
 *
 * Not thread-safe.
 */
template<bool IsRequest>
class MessageParser
  : public boost::beast::http::parser<IsRequest,
                                      boost::beast::http::string_body>
{
public:
  /** Bytes of the longest name, and of the longest value, that a field can
   * have: the container adds two to each and stores the sum in 16 bits. */
  static constexpr std::size_t kMaxFieldBytes =
    std::numeric_limits<std::uint16_t>::max() - 2;

  /** Whether the container can hold a field. Thread-safe. */
  static bool IsStorable(std::string_view aName, std::string_view aValue)
  {
    return aName.size() <= kMaxFieldBytes && aValue.size() <= kMaxFieldBytes;
  }

private:
  void on_field_impl(boost::beast::http::field aField,
                     boost::beast::string_view aName,
                     boost::beast::string_view aValue,
                     boost::beast::error_code& aError) override
  {
    if (!IsStorable({ aName.data(), aName.size() },
                    { aValue.data(), aValue.size() })) {
      aError = boost::beast::http::error::header_limit;
      return;
    }
    this->get().insert(aField, aName, aValue);
  }
};

} // namespace fireflytrail::core
