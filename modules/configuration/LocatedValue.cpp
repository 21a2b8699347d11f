#include "configuration/LocatedValue.h"

#include <boost/json/basic_parser_impl.hpp>

#include <utility>

namespace fireflytrail::configuration {

namespace {

using boost::json::error_code;
using boost::json::string_view;

/** Handler of `basic_parser` that builds the tree; see the Boost.JSON manual
 * for the meaning of each function. */
class TreeBuilder
{
public:
  static constexpr std::size_t max_array_size = 100'000;  // NOLINT
  static constexpr std::size_t max_object_size = 100'000; // NOLINT
  static constexpr std::size_t max_string_size = 1 << 20; // NOLINT
  static constexpr std::size_t max_key_size = 256;        // NOLINT

  /** Line that is being fed to the parser. */
  std::size_t line = 0;
  LocatedValue root;

  bool on_document_begin(error_code&) { return true; }
  bool on_document_end(error_code&) { return true; }
  bool on_array_begin(error_code&) { return Open(LocatedValue::Kind::List); }
  bool on_array_end(std::size_t, error_code&) { return Close(); }
  bool on_object_begin(error_code&) { return Open(LocatedValue::Kind::Object); }
  bool on_object_end(std::size_t, error_code&) { return Close(); }
  bool on_string_part(string_view aPart, std::size_t, error_code&)
  {
    this->pending.append(aPart);
    return true;
  }
  bool on_string(string_view aPart, std::size_t, error_code&)
  {
    this->pending.append(aPart);
    LocatedValue value = Make(LocatedValue::Kind::Text);
    value.text = std::exchange(this->pending, {});
    return Add(std::move(value));
  }
  bool on_key_part(string_view aPart, std::size_t, error_code&)
  {
    this->pending.append(aPart);
    return true;
  }
  bool on_key(string_view aPart, std::size_t, error_code&)
  {
    this->pending.append(aPart);
    this->open.back().names.push_back(std::exchange(this->pending, {}));
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
    // Above the largest signed integer, which no setting allows: kept as a
    // real number, so that the range check reports it.
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
    LocatedValue value = Make(LocatedValue::Kind::Flag);
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
    this->open.push_back(Make(aKind));
    return true;
  }
  bool Close()
  {
    LocatedValue value = std::move(this->open.back());
    this->open.pop_back();
    return Add(std::move(value));
  }
  bool Add(LocatedValue aValue)
  {
    if (this->open.empty()) {
      this->root = std::move(aValue);
    } else {
      this->open.back().items.push_back(std::move(aValue));
    }
    return true;
  }

  std::string pending;
  std::vector<LocatedValue> open;
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
  const auto failed = [&](std::string aMessage) {
    return std::vector<TextError>{ { line, "", std::move(aMessage) } };
  };
  std::string fed;
  for (std::size_t begin = 0; begin < aText.size();) {
    const std::size_t end = std::min(aText.find('\n', begin), aText.size());
    ++line;
    // Each line ends with a line break, so that a number or a comment at the
    // end of the text is complete.
    fed.assign(aText.substr(begin, end - begin));
    fed += '\n';
    const std::size_t used =
      parser.write_some(true, fed.data(), fed.size(), error);
    if (error) {
      return failed("syntax error: " + error.message());
    }
    if (used < fed.size()) {
      return failed("syntax error: text after the end of the document");
    }
    begin = end + 1;
  }
  parser.write_some(false, "", 0, error);
  if (error) {
    return failed("syntax error: " + error.message());
  }
  return std::move(parser.handler().root);
}

std::string_view
LocatedValue::NameOf(Kind aKind)
{
  switch (aKind) {
    case Kind::Null:
      return "null";
    case Kind::Flag:
      return "true or false";
    case Kind::Integer:
      return "an integer";
    case Kind::Real:
      return "a number";
    case Kind::Text:
      return "a string";
    case Kind::List:
      return "a list";
    case Kind::Object:
      break;
  }
  return "an object";
}

} // namespace fireflytrail::configuration
