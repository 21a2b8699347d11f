#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include <sys/types.h>

namespace fireflytrail::review {

/**
 * A daemon as a process of its own, started as the deploy file says, with
 * settings as the platform fills them in for a machine of a small site. Its
 * output goes to a file in the temporary folder. One thread uses it at a time.
 */
class EntryDaemon
{
public:
  struct Ports
  {
    std::uint16_t callers = 0;
    std::uint16_t ready = 0;
    std::uint16_t control = 0;
    std::uint16_t peers = 0;
  };

  /** `aSeed` is the first daemon, or null. `aFolder` is the temporary folder,
   * `aMemoryMb` the memory of the machine in megabytes. */
  EntryDaemon(std::string aName,
              std::uint16_t aStorePort,
              const EntryDaemon* aSeed,
              std::string aFolder,
              std::size_t aMemoryMb);
  /** Kills the process if it runs. */
  ~EntryDaemon();
  EntryDaemon(const EntryDaemon&) = delete;
  EntryDaemon& operator=(const EntryDaemon&) = delete;

  const std::string& Name() const { return this->name; }
  std::uint16_t Port() const { return this->ports.callers; }

  /** Starts the process, which must not run. */
  void Start();

  /** Sends a signal if the process runs. */
  void Signal(int aSignal) const;

  /** Returns how the process ended, as of `waitpid`, once; nothing while it
   * runs. */
  std::optional<int> TakeEnd();

  bool IsRunning() const { return this->process > 0; }

  /** Asks whether the daemon is ready until it is, for a time at most. */
  bool WaitUntilReady(std::chrono::milliseconds aTimeout) const;

  /** Returns the resident memory of the process in bytes. */
  std::size_t ResidentBytes() const;

private:
  std::string name;
  std::string folder;
  std::string settingsPath;
  Ports ports;
  pid_t process = 0;
};

} // namespace fireflytrail::review
