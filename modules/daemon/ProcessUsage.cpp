#include "daemon/ProcessUsage.h"

#include <sys/resource.h>
#include <unistd.h>

#include <fstream>

namespace fireflytrail::daemon {

std::chrono::microseconds
ProcessUsage::ThreadCpuTime()
{
  rusage usage{};
  getrusage(RUSAGE_THREAD, &usage);
  return std::chrono::seconds(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) +
         std::chrono::microseconds(usage.ru_utime.tv_usec +
                                   usage.ru_stime.tv_usec);
}

std::uint64_t
ProcessUsage::ResidentBytes()
{
  std::ifstream file("/proc/self/statm");
  std::uint64_t total = 0;
  std::uint64_t resident = 0;
  file >> total >> resident;
  return resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

} // namespace fireflytrail::daemon
