#include "review/standins/Record.h"

#include <fmt/format.h>

namespace fireflytrail::review {

Record::Record(const std::string& aPath)
  : start(std::chrono::steady_clock::now())
  , file(aPath)
{
}

void
Record::Write(const std::string& aLine)
{
  const std::chrono::duration<double> elapsed =
    std::chrono::steady_clock::now() - this->start;
  this->file << fmt::format("{:8.3f} {}", elapsed.count(), aLine) << std::endl;
}

} // namespace fireflytrail::review
