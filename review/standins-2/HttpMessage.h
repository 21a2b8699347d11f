#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace fireflytrail::review {

/** A complete HTTP/1.1 message. Not thread-safe. */
struct HttpMessage
{
  /** The first line without its line end. */
  std::string startLine;
  std::vector<std::pair<std::string, std::string>> fields;
  std::string body;

  /** Returns the value of the first field of a name, or an empty text. */
  std::string Field(std::string_view aName) const;

  /** Returns the status of a response, 0 if there is none. */
  unsigned Status() const;

  /** Returns the method of a request. */
  std::string Method() const;

  /** Returns the target of a request. */
  std::string Target() const;
};

} // namespace fireflytrail::review
