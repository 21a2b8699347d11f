#include "HttpMessage.h"

#include <cstdlib>

#include <strings.h>

namespace fireflytrail::review {

std::string
HttpMessage::Field(std::string_view aName) const
{
  for (const auto& [name, value] : this->fields) {
    if (name.size() == aName.size() &&
        strncasecmp(name.data(), aName.data(), name.size()) == 0) {
      return value;
    }
  }
  return {};
}

unsigned
HttpMessage::Status() const
{
  const std::size_t space = this->startLine.find(' ');
  return space == std::string::npos ? 0
                                    : static_cast<unsigned>(std::atoi(
                                        this->startLine.c_str() + space + 1));
}

std::string
HttpMessage::Method() const
{
  return this->startLine.substr(0, this->startLine.find(' '));
}

std::string
HttpMessage::Target() const
{
  const std::size_t begin = this->startLine.find(' ') + 1;
  return this->startLine.substr(begin,
                                this->startLine.find(' ', begin) - begin);
}

} // namespace fireflytrail::review
