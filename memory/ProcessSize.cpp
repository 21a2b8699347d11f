#include "memory/ProcessSize.h"

#include <fmt/format.h>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

#include <arpa/inet.h>
#include <unistd.h>

namespace fireflytrail::memory {

ProcessSize
ProcessSize::Of(pid_t aProcess)
{
  ProcessSize size;
  std::ifstream status(fmt::format("/proc/{}/status", aProcess));
  for (std::string line; std::getline(status, line);) {
    std::istringstream words(line);
    std::string name;
    std::size_t value = 0;
    words >> name >> value;
    if (name == "VmHWM:") {
      size.peakKilobytes = value;
    } else if (name == "VmRSS:") {
      size.residentKilobytes = value;
    }
  }
  std::error_code error;
  for (std::filesystem::directory_iterator
         entry(fmt::format("/proc/{}/fd", aProcess), error),
       end;
       !error && entry != end;
       entry.increment(error)) {
    ++size.descriptors;
  }
  std::ifstream stat(fmt::format("/proc/{}/stat", aProcess));
  std::string text;
  std::getline(stat, text);
  // The name, in parentheses, may have blanks. User and system time are the
  // 12th and 13th words after it.
  if (const std::size_t end = text.rfind(')'); end != std::string::npos) {
    std::istringstream words(text.substr(end + 1));
    std::string word;
    constexpr int kWordsBefore = 11;
    for (int count = 0; count < kWordsBefore; ++count) {
      words >> word;
    }
    long userTicks = 0;
    long systemTicks = 0;
    words >> userTicks >> systemTicks;
    size.processorTime = std::chrono::milliseconds(
      1000 * (userTicks + systemTicks) / sysconf(_SC_CLK_TCK));
  }
  return size;
}

namespace {

/** Bytes that the kernel holds for a connection. */
struct QueuedBytes
{
  std::size_t unsent = 0;
  std::size_t unread = 0;
};

/** Sums the queues of the connections to `aCount` consecutive ports. */
QueuedBytes
SumQueues(pid_t aProcess,
          const boost::asio::ip::tcp::endpoint& aFirst,
          unsigned aCount)
{
  // The kernel states addresses as the bytes in network order, read as a number
  // of the host.
  const std::string address =
    fmt::format("{:08X}:", htonl(aFirst.address().to_v4().to_uint()));
  std::ifstream table(fmt::format("/proc/{}/net/tcp", aProcess));
  std::string line;
  std::getline(table, line);
  QueuedBytes sum;
  constexpr int kBase = 16;
  while (std::getline(table, line)) {
    std::istringstream words(line);
    std::string number;
    std::string from;
    std::string to;
    std::string state;
    std::string queues;
    words >> number >> from >> to >> state >> queues;
    constexpr const char* kListening = "0A";
    const std::size_t colon = queues.find(':');
    if (!from.starts_with(address) || state == kListening ||
        colon == std::string::npos) {
      continue;
    }
    const unsigned long port =
      std::stoul(from.substr(address.size()), nullptr, kBase);
    if (port >= aFirst.port() && port < aFirst.port() + aCount) {
      sum.unsent += std::stoul(queues.substr(0, colon), nullptr, kBase);
      sum.unread += std::stoul(queues.substr(colon + 1), nullptr, kBase);
    }
  }
  return sum;
}

} // namespace

std::size_t
UnreadBytes(pid_t aProcess, const boost::asio::ip::tcp::endpoint& aListener)
{
  return SumQueues(aProcess, aListener, 1).unread;
}

std::size_t
KernelBytes(pid_t aProcess,
            const boost::asio::ip::tcp::endpoint& aFirst,
            unsigned aCount)
{
  const QueuedBytes sum = SumQueues(aProcess, aFirst, aCount);
  return sum.unsent + sum.unread;
}

} // namespace fireflytrail::memory
