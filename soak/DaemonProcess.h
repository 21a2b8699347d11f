#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstdint>
#include <string>

#include <sys/types.h>

namespace fireflytrail::soak {

/** One entry daemon as a process of its own, with its settings and its log in a
 * folder. Only processes that this object started get signals. Not thread-safe.
 */
class DaemonProcess
{
public:
  /** Where a daemon listens and what it connects to. */
  struct Place
  {
    std::string program;
    std::string folder;
    /** Loopback address of its host; ports are the same on all hosts. */
    std::string address;
    std::string domain;
    std::string firstPeer;
    std::uint16_t storePort = 0;
    std::uint16_t basePort = 0;
    unsigned hosts = 1;
  };

  explicit DaemonProcess(Place aPlace);
  /** Kills the process if it runs. */
  ~DaemonProcess();
  DaemonProcess(const DaemonProcess&) = delete;
  DaemonProcess& operator=(const DaemonProcess&) = delete;

  /** Starts the process, which must not run. */
  void Start();

  /** Sends a signal if the process runs. */
  void Signal(int aSignal);

  /** Returns whether the process still runs; takes its end if not. */
  bool IsRunning();

  /** Returns the exit code or minus the signal of the last end. */
  int LastEnd() const { return this->lastEnd; }

  boost::asio::ip::tcp::endpoint CallerEndpoint() const;
  boost::asio::ip::tcp::endpoint ReadyEndpoint() const;

private:
  void WriteSettings() const;

  Place place;
  pid_t process = 0;
  int lastEnd = 0;
};

} // namespace fireflytrail::soak
