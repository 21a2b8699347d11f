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
 * the container of their fields throw, or grow without end. That container
 * holds names and values of a limited size, and the limit of the head, which
 * applies to the bytes that are held at the same time, may let longer ones
 * through; it lets any number of fields through that arrive one after the
 * other. Such a message ends with `http::error::header_limit`.
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

  /** Sets the number of bytes that the fields of the head, and those of the
   * trailers, may have together. Call before parsing. */
  void LimitFields(std::size_t aBytes) { this->maxFieldsBytes = aBytes; }

private:
  /** Colon and line break, the bytes of a field besides name and value. */
  static constexpr std::size_t kFieldOverhead = 3;

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
    if (this->is_header_done() && !this->hasTrailers) {
      this->hasTrailers = true;
      this->fieldsBytes = 0;
    }
    this->fieldsBytes += aName.size() + aValue.size() + kFieldOverhead;
    if (this->fieldsBytes > this->maxFieldsBytes) {
      aError = boost::beast::http::error::header_limit;
      return;
    }
    this->get().insert(aField, aName, aValue);
  }

  std::size_t maxFieldsBytes = std::numeric_limits<std::size_t>::max();
  std::size_t fieldsBytes = 0;
  bool hasTrailers = false;
};

} // namespace fireflytrail::core
