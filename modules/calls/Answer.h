#pragma once

#include <cstddef>
#include <string>
#include <utility>
#include <vector>

namespace fireflytrail::calls {

/**
 * A backend server's complete answer, as passed on to the caller and kept for
 * resends.
 */
struct Answer
{
  unsigned status = 0;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  /** Returns the approximate memory use of the answer in bytes. */
  std::size_t Bytes() const
  {
    std::size_t bytes = sizeof(Answer) + this->body.size();
    for (const auto& [name, value] : this->headers) {
      bytes += sizeof(this->headers.front()) + name.size() + value.size();
    }
    return bytes;
  }
};

} // namespace fireflytrail::calls
