#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <sys/types.h>

namespace fireflytrail::soak {

/**
 * Runs one entry daemon as a child process, with its settings file and its log
 * in a folder. Signals only processes that this object started. Not
 * thread-safe.
 */
class DaemonProcess
{
public:
  /** Program, folder and endpoints of a daemon. */
  struct Options
  {
    std::string program;
    std::string folder;
    /** Loopback address of its host; all hosts use the same ports. */
    std::string address;
    std::string domain;
    /** Address of the peer that the daemon contacts first. */
    std::string firstPeer;
    std::string storeAddress = "127.0.0.1";
    std::uint16_t storePort = 0;
    /** First of four consecutive ports: for callers, for readiness, for
     * operators and for peers. */
    std::uint16_t basePort = 0;
    unsigned hosts = 1;
    std::chrono::milliseconds stopLimit{ 6000 };
    /** Environment of the process, as texts `NAME=value`. */
    std::vector<std::string> environment;
    /** Whether the settings file is an argument of the program. */
    bool isFileAnArgument = true;
    /** More settings: text that follows a comma, or empty. */
    std::string moreSettings;
  };

  explicit DaemonProcess(Options aOptions);
  /** Kills the process if it is running. */
  ~DaemonProcess();
  DaemonProcess(const DaemonProcess&) = delete;
  DaemonProcess& operator=(const DaemonProcess&) = delete;

  /** Starts the process, which must not be running. Throws if it cannot be
   * started. */
  void Start();

  /** Returns when the running or last process was first told to stop. */
  std::optional<std::chrono::steady_clock::time_point> StopRequestedAt() const
  {
    return this->stopRequestedAt;
  }

  /** Returns whether `SendSignal` has killed the running or last process. */
  bool WasKilled() const { return this->wasKilled; }

  /** Returns whether the last process exited as the signals that were sent ask
   * for: with status 0 after SIGTERM, or by SIGKILL; or by a signal that was
   * sent while the dynamic loader may have run, when no program can handle it.
   * Call only after `IsRunning` has returned false. */
  bool IsExitAsRequested() const;

  /** Settings that a running daemon applies. */
  struct Reloadable
  {
    unsigned freeRetries = 64;
    unsigned expectedHosts = 19;
  };

  /** Replaces the settings file at once; a running daemon isn't told. */
  void ReplaceSettings(const Reloadable& aSettings) const;

  /** Truncates the settings file and writes the first half of its content;
   * `ReplaceSettings` completes it. */
  void TruncateSettings() const;

  /** Returns the last lines of the log of all processes of this host. */
  std::string LogTail() const;

  /** Sends a signal if the process is running, and remembers it for
   * `IsExitAsRequested`. */
  void SendSignal(int aSignal);

  /** Returns whether the process is still running; reaps it if it has exited.
   */
  bool IsRunning();

  /** Waits until the process has exited; returns false if it still runs after
   * this time. */
  bool WaitUntilExit(std::chrono::milliseconds aTime);

  /** Returns the process id; 0 if no process is known to run. */
  pid_t Pid() const { return this->pid; }

  /** Returns the exit code, or the negated signal number, of the last process
   * that has exited. */
  int ExitStatus() const { return this->exitStatus; }

  /** Returns the path of the settings file, which the constructor writes. */
  std::string SettingsPath() const;

  /** Returns the text of valid settings for these options. */
  std::string SettingsText() const;

  /** Returns what the processes have written so far to standard output and
   * standard error. */
  std::string LogText() const;

  /** Returns the address of the host. */
  const std::string& Address() const { return this->options.address; }

  const Options& StartOptions() const { return this->options; }

  boost::asio::ip::tcp::endpoint CallerEndpoint() const;
  boost::asio::ip::tcp::endpoint ReadyEndpoint() const;

private:
  std::string SettingsText(const Reloadable& aSettings) const;
  /** Returns the processor time that the running process has used. */
  std::chrono::nanoseconds ProcessorTime() const;
  std::string LogPath() const;

  Options options;
  pid_t pid = 0;
  int exitStatus = 0;
  std::optional<std::chrono::steady_clock::time_point> stopRequestedAt;
  bool wasKilled = false;
  /** Signals sent before the program's first instructions. */
  std::set<int> signalsOfLoader;
};

} // namespace fireflytrail::soak
