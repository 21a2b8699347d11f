#pragma once

#include "scenario/Fields.h"
#include "scenario/Models.h"

#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace fireflytrail::scenario {

class SimulatedDaemon;
class World;

/**
 * Generates calls of one kind as a Poisson process. It resends if the answer
 * permits it: with the same ticket after an unknown outcome, with a new one
 * after "not run". Each send goes through a random host.
 */
class SimulatedCaller
{
public:
  /** Reads one object of the script's `load`; throws on an invalid one. */
  SimulatedCaller(World& aWorld, const boost::json::object& aLoad);

  /** Schedules the first call. */
  void Start();

private:
  /** One call as the caller sees it: the first send and all resends. */
  struct LogicalCall
  {
    std::uint64_t id = 0;
    std::uint64_t digest = 0;
    std::string ticket;
    unsigned resendsLeft = 0;
    bool isDone = false;
  };

  void StartCall();
  void FetchTickets(std::function<void()> aContinuation);
  void SendWithTicket(const std::shared_ptr<LogicalCall>& aLogicalCall,
                      bool aIsFirstSend);
  void Send(const std::shared_ptr<LogicalCall>& aLogicalCall,
            bool aIsFirstSend);
  void HandleReply(const std::shared_ptr<LogicalCall>& aLogicalCall,
                   const std::string& aTicket,
                   const SimulatedReply& aReply);
  void Resend(const std::shared_ptr<LogicalCall>& aLogicalCall,
              bool aWithNewTicket);

  World& world;
  const CallModel* call;
  double perSecond;
  microseconds from;
  microseconds to;
  unsigned resends;
  /** Logical calls still to be started. */
  std::uint64_t count;
  /**
   * If there is no reply to the first send after this time, a copy is sent with
   * the same ticket. Zero: no copy.
   */
  microseconds hedgeDelay;
  /** All calls have the same request, and so the same request digest. */
  bool isSameRequest;
  /** Resends even if the answer forbids it. */
  bool alwaysResends;
  /** Resends another request with the same ticket, which must be refused. */
  bool changesRequest;
  /** Sends at-most-once calls without a ticket, which must be refused. */
  bool withoutTicket;
  /** If not empty, sent in place of an issued ticket, to test invalid ones. */
  std::string fixedTicket;
  /** Delay between taking a fetched ticket and sending it. */
  microseconds ticketAge;
  /** The caller closes the connection if no reply arrives in this time. */
  microseconds replyTimeout;
  /** Fetched tickets that are not used yet. */
  std::deque<std::string> tickets;
};

} // namespace fireflytrail::scenario
