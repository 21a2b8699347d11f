#pragma once

#include "scenario/DaemonProcess.h"
#include "scenario/SimulatedServer.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace fireflytrail::scenario {

/** An entry daemon: real decision code between simulated connections. */
class SimulatedDaemon
{
public:
  using ReplyFunction = std::function<void(const SimulatedReply&)>;

  SimulatedDaemon(World& aWorld, std::string aName, std::string aDomain);
  ~SimulatedDaemon();

  SimulatedDaemon(const SimulatedDaemon&) = delete;
  SimulatedDaemon& operator=(const SimulatedDaemon&) = delete;

  /**
   * Takes a call that has arrived. The reply is made at this daemon's side of
   * the connection. Returns a function that closes the connection.
   */
  std::function<void()> Handle(const SimulatedRequest& aRequest,
                               ReplyFunction aReply);

  /** Replies to a request for tickets that has arrived. */
  void HandleTickets(
    unsigned aCount,
    std::function<void(const std::vector<std::string>&)> aReply);

  /** Runs an event of this process later, or after a pause; never if dead. */
  void Post(microseconds aDelay, std::function<void()> aEvent);

  /** Stops the process for some time; what arrives waits in its sockets. */
  void Pause(microseconds aTime);

  /** Ends the process; a new one starts after the time, if there is one. */
  void Die(std::optional<microseconds> aRestart);

  /** A server has closed its kept connections. */
  void ConnectionClosed(std::uint64_t aServer, std::uint64_t aServerStart);

  /** Returns what this daemon believes of the issuer of a ticket. */
  calls::IssuerState IssuerStateOf(const core::DaemonId& aIssuer);

  bool IsAlive() const { return this->process && this->process->isAlive; }
  DaemonProcess& Process() { return *this->process; }

  const std::string name;
  const std::string domain;
  /** If set, calls are refused before their flow begins. */
  std::optional<core::ErrorKind> refusal;
  /** If set, no server is chosen. */
  std::optional<core::ErrorKind> choiceError;

private:
  friend class SimulatedSession;

  void StartProcess();
  void StartGossip();
  void GossipTick();
  void Run(std::function<void()> aEvent);
  void ReadStore();

  World& world;
  std::shared_ptr<DaemonProcess> process;
  bool isPaused = false;
  /** Refuses calls until it has heard from a peer after its start. */
  bool isReady = true;
  std::vector<std::function<void()>> waiting;
};

} // namespace fireflytrail::scenario
