#include "Recorder.h"

#include <cstdio>

namespace fireflytrail::review {

Recorder::Recorder(const std::string& aFolder)
  : file(aFolder + "/record.txt")
{
}

void
Recorder::Write(const std::string& aLine)
{
  const std::lock_guard lock(this->mutex);
  char time[32] = {};
  std::snprintf(time,
                sizeof(time),
                "%8.3f s  ",
                static_cast<double>(this->Elapsed().count()) / 1000);
  this->file << time << aLine << std::endl;
}

std::chrono::milliseconds
Recorder::Elapsed() const
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
    std::chrono::steady_clock::now() - this->begin);
}

} // namespace fireflytrail::review
