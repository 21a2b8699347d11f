#pragma once

#include "calls/CrashGuard.h"
#include "configuration/RouteConfiguration.h"
#include "core/Hooks.h"
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

/** An instance that a request may use until it is released. */
struct Slot
{
  std::string service;
  std::uint64_t grant = 0;
  std::shared_ptr<const routing::BackendInstance> instance;
  /** Name of the daemon that granted it; empty for this one. */
  std::string grantedBy;
  /** Digest of the request; see `calls::RequestDigest`. */
  std::uint64_t digest = 0;
};

/** The surroundings of a `SlotBroker`. All functions must be set. */
struct SlotBrokerHooks
{
  core::NowFunction now;
  core::RandomFunction random;
  /** Returns the names of the daemons that may dispatch, without this one. */
  std::function<std::vector<std::string>()> peers;
  /** Whether this daemon may dispatch for others. */
  std::function<bool()> mayDispatch;
  /** Returns the largest plausible number of entry hosts. */
  std::function<std::size_t()> hostCount;
  /** Sends a message to a daemon by name; it may be lost. */
  std::function<void(const std::string&, wire::WireMessage)> send;
  /** Whether what is believed here lets an instance get requests. */
  std::function<bool(const routing::BackendInstance&)> isUsable;
  /** Knows the requests that crash servers; outlives the broker. */
  calls::CrashGuard& guard;
  /** Asks an instance for its load; the function is called once. */
  std::function<void(
    const routing::BackendInstance&,
    std::function<void(const std::optional<routing::Measurement>&)>)>
    measure;
  /** Told how each request has ended whose slot was granted here. */
  std::function<void(const routing::EndedRequest&)> ended;
  /** Told when a dispatching daemon stops answering or answers again. */
  std::function<void(const std::string& aName, bool aIsLost)> peerChanged;
};

/**
 * Gives requests a slot at an instance of their service, or tells why not.
 *
 * With a hundred daemons and four slots an instance, a daemon's own counts say
 * almost nothing about an instance. For each service, the first of the live
 * daemons in an order by hash therefore dispatches the requests of all: they
 * ask it with one short message and give the slot back with another. It keeps
 * no state that must last. A daemon that gets no decision in time decides by
 * its own knowledge, and asks the next daemon in the order for a while.
 *
 * Belongs to the daemon's thread.
 */
class SlotBroker
{
public:
  using DecidedFunction =
    std::function<void(const routing::DispatchResult&, std::optional<Slot>)>;

  /** `aSelf` is the name of this daemon. */
  SlotBroker(boost::asio::io_context& aContext,
             std::string aSelf,
             SlotBrokerHooks aHooks);
  SlotBroker(const SlotBroker&) = delete;
  SlotBroker& operator=(const SlotBroker&) = delete;

  /** Takes over what is believed of services and instances. */
  void Update(const configuration::RouteConfiguration& aConfiguration,
              const routing::ServiceDirectory& aDirectory);

  /** Sets the part of a service's requests that goes to instances on trial,
   * while this daemon dispatches for all. */
  void SetTrialShare(const std::string& aService, double aShare);

  /**
   * Asks for a slot; `aRequest.id` is ignored. The function is called once,
   * perhaps before this returns. Returns a number for `Withdraw`.
   */
  std::uint64_t Acquire(const std::string& aService,
                        std::uint64_t aDigest,
                        routing::DispatchRequest aRequest,
                        DecidedFunction aOnDecided);

  /** Drops a request that was not decided yet. */
  void Withdraw(std::uint64_t aNumber);

  /** Gives a slot back. */
  void Release(const Slot& aSlot,
               routing::UseOutcome aOutcome,
               std::chrono::nanoseconds aDuration,
               const std::optional<routing::LoadSample>& aSample);

  /**
   * Tells the dispatching daemon that a server died while a request of that
   * slot was running, so that it counts the deaths that all daemons see.
   */
  void ReportDeath(const Slot& aSlot, std::uint64_t aDeath);

  //============================================================================
  /** Takes a request of another daemon. */
  void OnMessage(const std::string& aFrom, const wire::SlotRequest& aRequest);

  /** Takes the decision about an own request. */
  void OnMessage(const std::string& aFrom, const wire::SlotDecision& aDecision);

  /** Takes a slot back from another daemon. */
  void OnMessage(const std::string& aFrom, const wire::SlotRelease& aRelease);

  //============================================================================
  /** Returns the name of the daemon that dispatches a service; empty for this
   * one. */
  std::string DispatcherName(std::string_view aService) const;

  /** Returns the dispatcher of a service; null if there is none yet. */
  const routing::ServiceDispatcher* FindDispatcher(
    std::string_view aService) const;

  /** Returns the requests that wait here. */
  std::size_t WaitingCount() const;

private:
  /** An own request without a decision. */
  struct Pending
  {
    std::string service;
    std::uint64_t digest = 0;
    routing::DispatchRequest request;
    DecidedFunction onDecided;
    /** Daemon that was asked; empty if this one decides. */
    std::string asked;
    /** Whether that daemon has said since it was asked that the request waits.
     */
    bool isWaiting = false;
    std::shared_ptr<boost::asio::steady_timer> timer;
  };

  /** A request of another daemon without a decision. */
  struct Remote
  {
    std::string from;
    std::uint64_t number = 0;
    std::string service;
  };

  /** What is known of a daemon that was asked. */
  struct PeerState
  {
    unsigned misses = 0;
    core::TimePoint lostUntil{};
  };

  routing::ServiceDispatcher& DispatcherOf(const std::string& aService);
  void Measure(
    const std::shared_ptr<const routing::BackendInstance>& aInstance);
  void OnDecided(std::uint64_t aNumber, const routing::DispatchResult& aResult);
  /** Decides an own request. `aIsAlone` tells that another daemon should have
   * done so. */
  void DecideHere(std::uint64_t aNumber, bool aIsAlone);
  void SayItWaits(const std::string& aTo, std::uint64_t aNumber);
  void Ask(std::uint64_t aNumber, Pending& aPending);
  /** Acts on a daemon that has not answered in time. */
  void OnSilence(std::uint64_t aNumber, Pending& aPending);
  void AwaitDecision(std::uint64_t aNumber, std::chrono::milliseconds aTime);
  void NoteMiss(const std::string& aName);
  void NoteAnswer(const std::string& aName);
  void Finish(std::uint64_t aNumber,
              const routing::DispatchResult& aResult,
              const std::string& aGrantedBy);
  void ScheduleTick();

  boost::asio::io_context& context;
  std::string self;
  SlotBrokerHooks hooks;
  boost::asio::steady_timer timer;
  std::optional<core::TimePoint> timerDue;
  routing::DispatcherSettings settings;
  std::
    map<std::string, std::unique_ptr<routing::ServiceDispatcher>, std::less<>>
      dispatchers;
  std::map<std::uint64_t, Pending> pending;
  std::map<std::uint64_t, Remote> remotes;
  std::map<std::pair<std::string, std::uint64_t>, std::uint64_t> remoteNumbers;
  std::map<std::string, PeerState, std::less<>> peerStates;
  std::uint64_t lastNumber = 0;
};

} // namespace fireflytrail::proxy
