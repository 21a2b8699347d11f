#pragma once

#include "soak/DaemonProcess.h"
#include "soak/ObjectStore.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace fireflytrail::memory {

class Crowd;
class LoadServer;

/** What a run does; the same values give the same load. */
struct MemoryPlan
{
  std::uint64_t seed = 1;
  /** One of `MemoryRun::Loads`. */
  std::string load;
  unsigned daemons = 1;
  /** Concurrent callers, or connections, of the load. */
  unsigned callers = 16;
  /** The setting `memory_mb` of the daemons. */
  unsigned memoryMegabytes = 160;
  /** Whether the setting is written; programs of earlier versions refuse it. */
  bool isMemoryStated = true;
  /** The setting `max_descriptors` of the daemons; 0 if it is not written. */
  unsigned maxDescriptors = 0;
  /** More settings of the daemons: text that follows a comma, or empty. */
  std::string moreSettings;
  std::chrono::milliseconds loadTime{ 8000 };
  std::string program;
  std::string folder;
  std::uint16_t basePort = 0;
};

/** What a run has measured. */
struct MemoryResult
{
  /** Largest resident size of a daemon, from the kernel. */
  std::size_t peakKilobytes = 0;
  /** Largest sum of a daemon's resident size and the received bytes that it has
   * not read, as sampled; for crowds, the unsent bytes are included. */
  std::size_t peakWithUnreadKilobytes = 0;
  /** Largest resident size four seconds after the load. */
  std::size_t lastKilobytes = 0;
  /** Most descriptors of a daemon. */
  std::size_t peakDescriptors = 0;
  /** Processor time of all daemons. */
  std::chrono::milliseconds processorTime{ 0 };
  /** Large requests that were answered 200, and with another status. */
  std::size_t largeServed = 0;
  std::size_t largeRefused = 0;
  std::size_t largeCut = 0;
  /** Small requests of other callers during the load. */
  std::size_t smallServed = 0;
  std::size_t smallRefused = 0;
  std::size_t smallCut = 0;
  /** Readiness checks during a crowd, on a new connection each, that were
   * answered 200, and all of them. */
  std::size_t readyAnswered = 0;
  std::size_t readyAsked = 0;
  /** Why the run failed; empty if it kept its promises. */
  std::vector<std::string> violations;
};

/**
 * Runs entry daemons with a memory limit under a load that fills memory, while
 * another caller sends small requests, and measures the size of the processes.
 * Use one object for one run.
 */
class MemoryRun
{
public:
  /** Returns the names of the loads. */
  static std::vector<std::string> Loads();

  explicit MemoryRun(MemoryPlan aPlan);
  ~MemoryRun();
  MemoryRun(const MemoryRun&) = delete;
  MemoryRun& operator=(const MemoryRun&) = delete;

  /** Runs the load; returns after the daemons have stopped. Throws if a daemon
   * cannot be started. */
  MemoryResult Run();

private:
  using Awaitable = boost::asio::awaitable<void>;

  Awaitable RunTest();
  Awaitable Sample();
  Awaitable SendSmallRequests();
  void StartLoad();
  /** Starts the crowd that the load names as `KIND@PORT`. */
  void StartCrowd();
  /** Returns the status of one ordinary request at a port, 0 without answer. */
  boost::asio::awaitable<unsigned> AskOnce(
    boost::asio::ip::tcp::endpoint aTarget,
    std::string aPath);
  /** Asks for readiness, as the platform does, while the crowd is there. */
  Awaitable AskForReadiness();
  /** Checks after the crowd that an ordinary request is answered. */
  Awaitable CheckAfterCrowd();
  /** Adds what does not hold after the run. */
  void Judge();
  bool IsCrowd() const;
  /** Sends requests with large bodies and asks for large answers. */
  Awaitable SendLarge(bool aIsChunked);
  /** Asks for large answers and reads them slowly. */
  Awaitable ReadSlowly();
  /** Sends a body without end in small parts. */
  Awaitable SendSlowly(bool aIsChunked);
  /** Holds a connection that sends nothing, or the start of a request. */
  Awaitable HoldOpen(std::string aStart);
  /** Sends requests without reading answers. */
  Awaitable SendPipelined();
  Awaitable ChangeConfiguration();
  Awaitable ChangeServers();

  Awaitable Wait(std::chrono::milliseconds aTime);
  /** Connects to a daemon; returns `std::nullopt` on an error. */
  boost::asio::awaitable<std::optional<boost::asio::ip::tcp::socket>> Connect();
  std::string Head(
    std::string_view aMethod,
    std::string_view aTarget,
    std::string_view aFields,
    std::chrono::milliseconds aTimeLimit = std::chrono::milliseconds(5000));
  void PutConfiguration(std::size_t aFillerBytes);
  std::uint64_t RandomBelow(std::uint64_t aLimit);
  bool IsOver() const { return this->isOver; }

  MemoryPlan plan;
  MemoryResult result;
  boost::asio::io_context context{ 1 };
  std::mt19937_64 random;
  soak::ObjectStore store;
  std::vector<std::shared_ptr<LoadServer>> servers;
  std::vector<std::unique_ptr<soak::DaemonProcess>> daemons;
  std::shared_ptr<Crowd> crowd;
  std::uint64_t requestCount = 0;
  std::uint64_t configurationCount = 0;
  bool isOver = false;
  bool isEnding = false;
};

} // namespace fireflytrail::memory
