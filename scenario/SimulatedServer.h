#pragma once

#include "scenario/Models.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>

namespace fireflytrail::scenario {

class World;

/** How a server's part of a request ended. */
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
  /** Identity of the server's death that reset the connection, or zero. */
  std::uint64_t death = 0;
  /** The report that an answer or a refusal carries (`Server-Load`). */
  unsigned inFlight = 0;
  std::uint64_t start = 0;
  bool isCold = false;
  bool isDraining = false;
};

/** A backend server that keeps its own record of what it ran. */
class SimulatedServer
{
public:
  using ReplyFunction = std::function<void(const ServerReply&)>;

  SimulatedServer(World& aWorld,
                  const ServiceModel& aService,
                  std::string aName,
                  std::string aDomain,
                  std::uint64_t aKey);

  /** Takes a request that has arrived in full. */
  void Receive(const SimulatedRequest& aRequest,
               std::uint64_t aToken,
               ReplyFunction aReply);

  /** The connection of a request was closed; a running request runs on. */
  void Cancel(std::uint64_t aToken);

  /** Ends the process and restarts it, cold, after the service's time. */
  void Die(const std::string& aCause);

  /** Makes the next runs slow: the factor halves with each finished run. */
  void TurnCold(double aFactor) { this->coldFactor = aFactor; }

  const ServiceModel& service;
  const std::string name;
  const std::string domain;
  const std::uint64_t key;
  /** Start identity of the process; drawn anew at each start. */
  std::uint64_t start = 0;
  bool isAlive = true;
  bool isDraining = false;
  bool isNewVersion = false;
  double slowFactor = 1.0;
  /** Empty, or how the server fails at once: answer, reset or refuse. */
  std::string failFast;

private:
  struct Work
  {
    SimulatedRequest request;
    ReplyFunction reply;
    microseconds timeLeft;
    bool isRunning = false;
  };

  void StartNext();
  void Run(std::uint64_t aToken);
  void CallBelow(std::uint64_t aToken, std::size_t aIndex);
  void Finish(std::uint64_t aToken, ServerReply aReply);
  /** Adds the report to a reply. */
  ServerReply WithReport(ServerReply aReply) const;
  static ServerReply FailureOf(const std::string& aMode);

  World& world;
  std::map<std::uint64_t, Work> works;
  std::deque<std::uint64_t> queue;
  unsigned busySlots = 0;
  double coldFactor = 1.0;
};

} // namespace fireflytrail::scenario
