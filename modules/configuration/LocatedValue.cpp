#include "configuration/LocatedValue.h"

#include <boost/json/basic_parser_impl.hpp>

#include <utility>

namespace fireflytrail::configuration {

namespace {

using boost::json::error_code;
using boost::json::string_view;

/** Handler for `basic_parser` that builds the tree of values. The Boost.JSON
 * manual describes each function. */
class TreeBuilder
{
public:
  static constexpr std::size_t max_array_size = 100'000;  // NOLINT
  static constexpr std::size_t max_object_size = 100'000; // NOLINT
  static constexpr std::size_t max_string_size = 1 << 20; // NOLINT
  static constexpr std::size_t max_key_size = 256;        // NOLINT

  /** Number of the line that is being parsed. */
  std::size_t line = 0;
  LocatedValue root;

  bool on_document_begin(error_code&) { return true; }
  bool on_document_end(error_code&) { return true; }
  bool on_array_begin(error_code&) { return Open(LocatedValue::Kind::Array); }
  bool on_array_end(std::size_t, error_code&) { return Close(); }
  bool on_object_begin(error_code&) { return Open(LocatedValue::Kind::Object); }
  bool on_object_end(std::size_t, error_code&) { return Close(); }
  bool on_string_part(string_view aPart, std::size_t, error_code&)
  {
    this->pendingText.append(aPart);
    return true;
  }
  bool on_string(string_view aPart, std::size_t, error_code&)
  {
    this->pendingText.append(aPart);
    LocatedValue value = Make(LocatedValue::Kind::String);
    value.text = std::exchange(this->pendingText, {});
    return Add(std::move(value));
  }
  bool on_key_part(string_view aPart, std::size_t, error_code&)
  {
    this->pendingText.append(aPart);
    return true;
  }
  bool on_key(string_view aPart, std::size_t, error_code&)
  {
    this->pendingText.append(aPart);
    this->openContainers.back().keys.push_back(
      std::exchange(this->pendingText, {}));
    return true;
  }
  bool on_number_part(string_view, error_code&) { return true; }
  bool on_int64(std::int64_t aNumber, string_view, error_code&)
  {
    LocatedValue value = Make(LocatedValue::Kind::Integer);
    value.integer = aNumber;
    value.real = static_cast<double>(aNumber);
    return Add(std::move(value));
  }
  bool on_uint64(std::uint64_t aNumber, string_view, error_code&)
  {
    // The number exceeds the largest signed integer, which no setting allows.
    // It is kept as a real number, so that the range check reports it.
    LocatedValue value = Make(LocatedValue::Kind::Real);
    value.real = static_cast<double>(aNumber);
    return Add(std::move(value));
  }
  bool on_double(double aNumber, string_view, error_code&)
  {
    LocatedValue value = Make(LocatedValue::Kind::Real);
    value.real = aNumber;
    return Add(std::move(value));
  }
  bool on_bool(bool aFlag, error_code&)
  {
    LocatedValue value = Make(LocatedValue::Kind::Boolean);
    value.flag = aFlag;
    return Add(std::move(value));
  }
  bool on_null(error_code&) { return Add(Make(LocatedValue::Kind::Null)); }
  bool on_comment_part(string_view, error_code&) { return true; }
  bool on_comment(string_view, error_code&) { return true; }

private:
  LocatedValue Make(LocatedValue::Kind aKind) const
  {
    LocatedValue value;
    value.kind = aKind;
    value.line = this->line;
    return value;
  }
  bool Open(LocatedValue::Kind aKind)
  {
    this->openContainers.push_back(Make(aKind));
    return true;
  }
  bool Close()
  {
    LocatedValue value = std::move(this->openContainers.back());
    this->openContainers.pop_back();
    return Add(std::move(value));
  }
  bool Add(LocatedValue aValue)
  {
    if (this->openContainers.empty()) {
      this->root = std::move(aValue);
    } else {
      this->openContainers.back().items.push_back(std::move(aValue));
    }
    return true;
  }

  std::string pendingText;
  std::vector<LocatedValue> openContainers;
};

} // namespace

Checked<LocatedValue>
LocatedValue::Parse(std::string_view aText)
{
  boost::json::parse_options options;
  options.allow_comments = true;
  options.allow_trailing_commas = true;
  boost::json::basic_parser<TreeBuilder> parser(options);
  std::size_t& line = parser.handler().line;
  error_code error;
  const auto makeError = [&](std::string aMessage) {
    return std::vector<TextError>{ { line, "", std::move(aMessage) } };
  };
  std::string lineText;
  for (std::size_t begin = 0; begin < aText.size();) {
    const std::size_t end = std::min(aText.find('\n', begin), aText.size());
    ++line;
    // A line break is appended to each line, so that the parser recognizes the
    // end of a number or comment at the end of the text.
    lineText.assign(aText.substr(begin, end - begin));
    lineText += '\n';
    const std::size_t consumed =
      parser.write_some(true, lineText.data(), lineText.size(), error);
    if (error) {
      return makeError("syntax error: " + error.message());
    }
    if (consumed < lineText.size()) {
      return makeError("syntax error: text after the end of the document");
    }
    begin = end + 1;
  }
  parser.write_some(false, "", 0, error);
  if (error) {
    return makeError("syntax error: " + error.message());
  }
  return std::move(parser.handler().root);
}

std::string_view
LocatedValue::NameOf(Kind aKind)
{
  switch (aKind) {
    case Kind::Null:
      return "null";
    case Kind::Boolean:
      return "true or false";
    case Kind::Integer:
      return "an integer";
    case Kind::Real:
      return "a number";
    case Kind::String:
      return "a string";
    case Kind::Array:
      return "a list";
    case Kind::Object:
      break;
  }
  return "an object";
}

} // namespace fireflytrail::configuration
