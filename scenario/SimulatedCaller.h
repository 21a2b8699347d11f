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
 * A source of calls of one kind. It follows the answers' rules on resending:
 * the same ticket after an unknown outcome, a new one after "not run". Each
 * send goes through any host.
 */
class SimulatedCaller
{
public:
  /** Reads one object of the script's `load`; throws on a faulty one. */
  SimulatedCaller(World& aWorld, const boost::json::object& aLoad);

  /** Schedules the first call. */
  void Start();

private:
  /** One intention of the caller, over all its sends. */
  struct Sale
  {
    std::uint64_t id = 0;
    std::uint64_t digest = 0;
    std::string ticket;
    unsigned resendsLeft = 0;
    bool isDone = false;
  };

  void StartSale();
  void TakeTickets(std::function<void()> aThen);
  void SendWithTicket(const std::shared_ptr<Sale>& aSale, bool aIsFirst);
  void Send(const std::shared_ptr<Sale>& aSale, bool aIsFirst);
  void Answered(const std::shared_ptr<Sale>& aSale,
                const std::string& aTicket,
                const SimulatedReply& aReply);
  void Resend(const std::shared_ptr<Sale>& aSale, bool aWithNewTicket);

  World& world;
  const CallModel* call;
  double perSecond;
  microseconds from;
  microseconds to;
  unsigned resends;
  /** Calls still to be started. */
  std::uint64_t count;
  /** If above zero, a copy is sent when there is no answer by then. */
  microseconds impatience;
  /** All calls are the same request. */
  bool isSameRequest;
  /** Sends again whatever the answer says. */
  bool isStubborn;
  /** Mixes different requests with one ticket, which must be refused. */
  bool changesRequest;
  /** Calls at-most-once calls without a ticket, which must be refused. */
  bool withoutTicket;
  /** Replaces the ticket, for example by one that is no ticket. */
  std::string fixedTicket;
  microseconds ticketAge;
  microseconds patience;
  std::deque<std::string> tickets;
};

} // namespace fireflytrail::scenario
