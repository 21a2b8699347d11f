#pragma once

#include "scenario/Models.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>

namespace fireflytrail::scenario {

class World;

/** How a request ended at a server. */
struct ServerReply
{
  enum class Kind : std::uint8_t
  {
    Answered,
    Refused,
    Reset,
  };
  Kind kind = Kind::Answered;
  unsigned status = 200;
  /** Identity of the server death that reset the connection, or zero. */
  std::uint64_t death = 0;
  /** Load report of an answer or a refusal (`Server-Load`). */
  unsigned inFlight = 0;
  /** Start identity of the server process. */
  std::uint64_t startId = 0;
  bool isCold = false;
  bool isDraining = false;
};

/** A backend server. It records the calls that it runs in `World::record`. */
class SimulatedServer
{
public:
  using ReplyFunction = std::function<void(const ServerReply&)>;

  SimulatedServer(World& aWorld,
                  const ServiceModel& aService,
                  std::string aName,
                  std::string aDomain,
                  std::uint64_t aKey);

  /** Queues or refuses a request that has arrived completely. */
  void Receive(const SimulatedRequest& aRequest,
               std::uint64_t aAttemptId,
               ReplyFunction aReply);

  /**
   * Handles a closed connection. A queued request is dropped; a running one
   * completes without a reply.
   */
  void Cancel(std::uint64_t aAttemptId);

  /**
   * Ends the process and restarts it cold after the service's restart time.
   * `aCause` is the name of the call that crashed it, or "" if a step ended it.
   */
  void Die(const std::string& aCause);

  /**
   * Multiplies the service time of the next runs by `aFactor`, which halves
   * with each run.
   */
  void TurnCold(double aFactor) { this->coldFactor = aFactor; }

  const ServiceModel& service;
  const std::string name;
  const std::string domain;
  const std::uint64_t key;
  /** Start identity of the process: a new random number at each start. */
  std::uint64_t startId = 0;
  bool isAlive = true;
  bool isDraining = false;
  bool isNewVersion = false;
  double slowFactor = 1.0;
  /**
   * If not empty, how the server fails every request immediately: `answer`,
   * `reset` or `refuse`.
   */
  std::string failFast;

private:
  struct PendingRequest
  {
    SimulatedRequest request;
    ReplyFunction reply;
    microseconds timeLeft;
    bool isRunning = false;
  };

  void StartNext();
  void Run(std::uint64_t aAttemptId);
  void MakeNestedCall(std::uint64_t aAttemptId, std::size_t aIndex);
  void Finish(std::uint64_t aAttemptId, ServerReply aReply);
  /** Adds the load report to a reply. */
  ServerReply WithReport(ServerReply aReply) const;
  static ServerReply FailureOf(const std::string& aMode);

  World& world;
  /** Queued and running requests, by attempt. */
  std::map<std::uint64_t, PendingRequest> requests;
  std::deque<std::uint64_t> queue;
  unsigned busySlots = 0;
  double coldFactor = 1.0;
};

} // namespace fireflytrail::scenario
