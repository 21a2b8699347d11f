#pragma once

#include "calls/CrashGuard.h"
#include "configuration/RouteConfiguration.h"
#include "core/DaemonId.h"
#include "core/Hooks.h"
#include "core/ProcessNumbers.h"
#include "routing/DispatchRequest.h"
#include "routing/ServiceDirectory.h"
#include "routing/ServiceDispatcher.h"
#include "wire/SlotDecision.h"
#include "wire/SlotRelease.h"
#include "wire/SlotRequest.h"
#include "wire/WireMessage.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace fireflytrail::proxy {

/**
 * One slot of an instance, granted to one request until it is released; see
 * `routing::ServiceDispatcher::Release`.
 */
struct Slot
{
  std::string service;
  std::uint64_t grant = 0;
  std::shared_ptr<const routing::BackendInstance> instance;
  /** Name of the daemon that granted the slot; empty if this daemon did. */
  std::string grantedBy;
  /** Digest of the request; see `calls::RequestDigest`. */
  std::uint64_t digest = 0;
};

/** What a `SlotBroker` needs from its daemon. All functions must be set. */
struct SlotBrokerHooks
{
  core::NowFunction now;
  core::RandomFunction random;
  /** Returns the names of the other daemons that may dispatch. */
  std::function<std::vector<std::string>()> peers;
  /** Returns whether this daemon may dispatch for others. */
  std::function<bool()> mayDispatch;
  /** Returns the largest plausible number of entry hosts. */
  std::function<std::size_t()> hostCount;
  /** Sends a message to the named daemon; the message may be lost. */
  std::function<void(const std::string&, wire::WireMessage)> send;
  /**
   * Returns whether an instance may receive requests according to this daemon's
   * own data.
   */
  std::function<bool(const routing::BackendInstance&)> isUsable;
  /** Blocks requests that crash servers; must outlive the broker. */
  calls::CrashGuard& guard;
  /**
   * Asks an instance for its load and calls the function once with the result.
   */
  std::function<void(
    const routing::BackendInstance&,
    std::function<void(const std::optional<routing::Measurement>&)>)>
    measure;
  /** Called when a request whose slot was granted by this daemon has ended. */
  std::function<void(const routing::EndedRequest&)> onRequestEnded;
  /**
   * Optional: returns whether the list of instances has arrived. Until then
   * this daemon's own data say nothing.
   */
  std::function<bool()> hasInstances = nullptr;
  /** Optional: called when an instance names another limit, or none any more.
   */
  std::function<void(const routing::BackendInstance&, std::optional<double>)>
    onLimitChanged = nullptr;
  /** Optional: called when an instance first states that it is leaving. */
  std::function<void(const routing::BackendInstance&)> onLeaving = nullptr;
  /**
   * Called when a dispatching daemon stops answering and when it answers again.
   */
  std::function<void(const std::string& aName, bool aIsLost)>
    onPeerAvailabilityChange;
};

/**
 * Acquires a slot for each request at an instance of its service, or returns
 * the reason for the refusal.
 *
 * With a hundred daemons and four slots per instance, the counts of a single
 * daemon say almost nothing about the load of an instance. One daemon therefore
 * dispatches the requests of all daemons to a service: the first live one in an
 * order by rendezvous hash. The other daemons acquire a slot from it with one
 * short message and release the slot with another. The dispatching daemon keeps
 * no persistent state. A daemon that receives no decision in time decides from
 * its own data; after repeated timeouts it uses the next daemon in the order
 * for a while. While all servers of the service are cold it asks the next one
 * at once, since what each daemon alone may send them is next to nothing.
 *
 * After the start of a whole fleet, daemons have requests before they know the
 * instances or each other. Such requests are held for a short time instead of
 * refused: all hosts are ready within about a second.
 *
 * For use on the daemon's thread only.
 */
class SlotBroker
{
public:
  using DecidedFunction =
    std::function<void(const routing::DispatchResult&, std::optional<Slot>)>;

  /** `aSelf` is the identity of this process. */
  SlotBroker(boost::asio::io_context& aContext,
             core::DaemonId aSelf,
             SlotBrokerHooks aHooks,
             routing::DispatcherSettings aSettings = {});
  SlotBroker(const SlotBroker&) = delete;
  SlotBroker& operator=(const SlotBroker&) = delete;

  /** Applies the current services and instances. */
  void Update(const configuration::RouteConfiguration& aConfiguration,
              const routing::ServiceDirectory& aDirectory);

  /**
   * Sets the share of a service's requests (0 to 1) that goes to instances on
   * trial. It applies while this daemon dispatches for all daemons.
   */
  void SetTrialShare(const std::string& aService, double aShare);

  /**
   * Requests a slot; `aRequest.id` is ignored. `aOnDecided` is called once,
   * possibly before this function returns, unless the request is withdrawn.
   * Returns a number for `Withdraw`.
   */
  std::uint64_t Acquire(const std::string& aService,
                        std::uint64_t aDigest,
                        routing::DispatchRequest aRequest,
                        DecidedFunction aOnDecided);

  /**
   * Cancels a request that has not been decided; unknown numbers are ignored.
   */
  void Withdraw(std::uint64_t aNumber);

  /** Releases a slot and records how its request has ended. */
  void Release(const Slot& aSlot,
               routing::AttemptOutcome aOutcome,
               std::chrono::nanoseconds aDuration,
               const std::optional<routing::LoadSample>& aSample,
               const routing::ServerNotice& aNotice = {});

  /**
   * Reports to the daemon that granted the slot that a server died while the
   * slot's request was running, so that the deaths seen by all daemons are
   * counted together.
   */
  void ReportDeath(const Slot& aSlot, std::uint64_t aDeath);

  //============================================================================
  /**
   * Handles a slot request of another daemon. One of a process that has been
   * replaced is ignored. The first one of a new process withdraws the requests
   * of the process that it replaces.
   */
  void OnMessage(const core::DaemonId& aFrom,
                 const wire::SlotRequest& aRequest);

  /**
   * Handles the decision on a slot request of this daemon. A grant that was not
   * requested by this process, or that is for another service, is returned.
   */
  void OnMessage(const core::DaemonId& aFrom,
                 const wire::SlotDecision& aDecision);

  /**
   * Handles another daemon's release of a slot, withdrawal of a request or
   * report of a server's death. The release of a grant of an earlier process of
   * this daemon is ignored.
   */
  void OnMessage(const core::DaemonId& aFrom,
                 const wire::SlotRelease& aRelease);

  //============================================================================
  /**
   * Returns the name of the daemon that dispatches a service; empty if it is
   * this daemon, or if no known daemon may dispatch. In both cases this daemon
   * decides its requests itself. The daemons `aWithout` do not count.
   */
  std::string DispatchingDaemonName(
    std::string_view aService,
    const std::vector<std::string>& aWithout = {}) const;

  /** Returns the dispatcher of a service; null if there is none yet. */
  const routing::ServiceDispatcher* FindDispatcher(
    std::string_view aService) const;

  /**
   * Returns the number of requests queued at the dispatchers of this daemon.
   */
  std::size_t WaitingCount() const;

private:
  /** A request of this daemon that has not been decided. */
  struct PendingRequest
  {
    std::string service;
    std::uint64_t digest = 0;
    routing::DispatchRequest request;
    DecidedFunction onDecided;
    /** Daemon that was asked for a slot; empty if this daemon decides. */
    std::string askedDaemon;
    /** Daemons that were asked and have not answered in time. */
    std::vector<std::string> silentDaemons;
    /**
     * Whether that daemon has replied to the last slot request that the request
     * is queued.
     */
    bool isQueued = false;
    std::shared_ptr<boost::asio::steady_timer> timer;
    /** Until then, it is held if it cannot be decided. */
    core::TimePoint holdUntil{};
  };

  /** A request of another daemon that has not been decided. */
  struct RemoteRequest
  {
    core::DaemonId from;
    std::uint64_t number = 0;
    std::string service;
  };

  /** A slot request that arrived before the list of instances. */
  struct HeldRequest
  {
    core::DaemonId from;
    wire::SlotRequest request;
    core::TimePoint arrivedAt;
  };

  /** The processes of another daemon that have sent slot requests. */
  struct PeerProcess
  {
    std::uint64_t currentStart = 0;
    std::optional<std::uint64_t> replacedStart;
  };

  /** How reliably a daemon answers slot requests. */
  struct PeerState
  {
    unsigned consecutiveTimeouts = 0;
    core::TimePoint avoidedUntil{};
  };

  routing::ServiceDispatcher& GetOrCreateDispatcher(
    const std::string& aService);
  void Measure(
    const std::shared_ptr<const routing::BackendInstance>& aInstance);
  void OnDecided(std::uint64_t aNumber, const routing::DispatchResult& aResult);
  /**
   * Decides a request of this daemon from its own data. `aIsFallback` is set if
   * this daemon does not dispatch for all: another one should have decided the
   * request, or no known daemon may.
   */
  void DecideLocally(std::uint64_t aNumber, bool aIsFallback);
  /** Whether requests cannot be decided from this daemon's own data yet. */
  bool LacksInstances() const;
  /**
   * Holds a request of this daemon until another daemon can be asked, the
   * instances are known, or it has been held long enough.
   */
  void Hold(std::uint64_t aNumber);
  void RetryHeld(std::uint64_t aNumber);
  /** Handles the held requests of other daemons. */
  void SubmitHeldRequests();
  /**
   * Records which process of a daemon is current. Returns false if the sender
   * has been replaced.
   */
  bool NoteProcess(const core::DaemonId& aFrom);
  /**
   * Withdraws the undecided requests of all processes of a daemon but the
   * current one.
   */
  void WithdrawRequestsOfReplaced(const core::DaemonId& aCurrent);
  /** Releases a grant of another daemon that was not used. */
  void ReturnGrant(const std::string& aTo,
                   const std::string& aService,
                   std::uint64_t aGrant,
                   routing::ServerNotice aNotice = {});
  void SendQueuedReply(const std::string& aTo, std::uint64_t aNumber);
  void SendSlotRequest(std::uint64_t aNumber, PendingRequest& aPending);
  /** Handles a slot request that was not answered in time. */
  void OnDecisionTimeout(std::uint64_t aNumber, PendingRequest& aPending);
  /**
   * Asks the next daemon in the order for a slot, after one has not answered,
   * if no server is warm. Returns false if the request is to be decided here.
   */
  bool AskNext(std::uint64_t aNumber, PendingRequest& aPending);
  /** Returns the share of a cold server's rate that this daemon may use as the
   * one that dispatches a service. */
  double ColdShareOf(const std::string& aService);
  void StartDecisionTimer(std::uint64_t aNumber,
                          std::chrono::milliseconds aTime);
  void RecordTimeout(const std::string& aName);
  void RecordAnswer(const std::string& aName);
  void CompleteRequest(std::uint64_t aNumber,
                       const routing::DispatchResult& aResult,
                       const std::string& aGrantedBy);
  void ScheduleTick();

  boost::asio::io_context& context;
  core::DaemonId self;
  SlotBrokerHooks hooks;
  boost::asio::steady_timer timer;
  std::optional<core::TimePoint> timerDue;
  routing::DispatcherSettings settings;
  std::
    map<std::string, std::unique_ptr<routing::ServiceDispatcher>, std::less<>>
      dispatchers;
  std::map<std::uint64_t, PendingRequest> pending;
  std::map<std::uint64_t, RemoteRequest> remoteRequests;
  std::map<std::pair<core::DaemonId, std::uint64_t>, std::uint64_t>
    remoteRequestIds;
  std::vector<HeldRequest> heldRequests;
  /** When the other daemons last asked for a slot, by service and name. */
  std::map<std::string,
           std::map<std::string, core::TimePoint, std::less<>>,
           std::less<>>
    askers;
  std::map<std::string, PeerState, std::less<>> peerStates;
  std::map<std::string, PeerProcess, std::less<>> peerProcesses;
  core::ProcessNumbers numbers;
};

} // namespace fireflytrail::proxy
