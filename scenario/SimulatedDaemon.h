#pragma once

#include "scenario/DaemonProcess.h"
#include "scenario/SimulatedServer.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace fireflytrail::scenario {

/** An entry daemon: the real decision code with simulated connections. */
class SimulatedDaemon
{
public:
  using ReplyFunction = std::function<void(const SimulatedReply&)>;

  SimulatedDaemon(World& aWorld, std::string aName, std::string aDomain);
  ~SimulatedDaemon();

  SimulatedDaemon(const SimulatedDaemon&) = delete;
  SimulatedDaemon& operator=(const SimulatedDaemon&) = delete;

  /**
   * Handles a call that has arrived. `aReply` is called when the daemon
   * replies, before the latency back to the caller. Returns a function that
   * closes the connection for the caller.
   */
  std::function<void()> Handle(const SimulatedRequest& aRequest,
                               ReplyFunction aReply);

  /** Issues up to `aCount` tickets for a request that has arrived. */
  void HandleTickets(
    unsigned aCount,
    std::function<void(const std::vector<std::string>&)> aReply);

  /**
   * Schedules an event of the current process. It is deferred while the process
   * is paused, and dropped if the process has ended.
   */
  void Post(microseconds aDelay, std::function<void()> aEvent);

  /** Suspends the process for some time; its events are deferred meanwhile. */
  void Pause(microseconds aTime);

  /** Ends the process; a new one starts after `aRestart`, if that is set. */
  void Die(std::optional<microseconds> aRestart);

  /** Handles the end of a server process, which closed its connections. */
  void ConnectionClosed(std::uint64_t aServer, std::uint64_t aServerStartId);

  /** Returns the state of a ticket issuer according to this daemon's gossip. */
  calls::IssuerState IssuerStateOf(const core::DaemonId& aIssuer);

  bool IsAlive() const { return this->process && this->process->isAlive; }
  DaemonProcess& Process() { return *this->process; }

  const std::string name;
  const std::string domain;
  /** If set, calls are refused with this kind before their flow begins. */
  std::optional<core::ErrorKind> refusal;
  /** If set, server choice fails with this kind. */
  std::optional<core::ErrorKind> choiceError;

private:
  friend class SimulatedSession;

  void StartProcess();
  void StartGossip();
  void GossipTick();
  void Run(std::function<void()> aEvent);
  void PollStore();

  World& world;
  std::shared_ptr<DaemonProcess> process;
  bool isPaused = false;
  /**
   * False after a process start, until a gossip message has arrived or 1 s has
   * passed. Calls are refused meanwhile.
   */
  bool isReady = true;
  /** Events that became due during a pause. */
  std::vector<std::function<void()>> deferredEvents;
};

} // namespace fireflytrail::scenario
