#pragma once

#include <string>

namespace fireflytrail::operator_client {

/** The content of a file, with its path for use in messages. */
struct NamedText
{
  std::string name;
  std::string text;
};

} // namespace fireflytrail::operator_client
