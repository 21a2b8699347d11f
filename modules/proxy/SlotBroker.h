#pragma once

#include "configuration/RouteConfiguration.h"
#include "core/Hooks.h"
#include "routing/DispatchRequest.h"
#include "routing/ServiceDirectory.h"
#include "routing/ServiceDispatcher.h"

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

namespace fireflytrail::proxy {

/** An instance that a request may use until it is released. */
struct Slot
{
  std::string service;
  std::uint64_t grant = 0;
  std::shared_ptr<const routing::BackendInstance> instance;
};

/**
 * Gives requests a slot at an instance of their service, or tells why not.
 * Belongs to the daemon's thread.
 */
class SlotBroker
{
public:
  using DecidedFunction =
    std::function<void(const routing::DispatchResult&, std::optional<Slot>)>;

  SlotBroker(boost::asio::io_context& aContext,
             core::NowFunction aNow,
             core::RandomFunction aRandom);
  SlotBroker(const SlotBroker&) = delete;
  SlotBroker& operator=(const SlotBroker&) = delete;

  /** Takes over what is believed of services and instances. */
  void Update(const configuration::RouteConfiguration& aConfiguration,
              const routing::ServiceDirectory& aDirectory,
              const routing::DispatcherSettings& aSettings);

  /**
   * Asks for a slot; `aRequest.id` is ignored. The function is called once,
   * perhaps before this returns. Returns a number for `Withdraw`.
   */
  std::uint64_t Acquire(const std::string& aService,
                        routing::DispatchRequest aRequest,
                        DecidedFunction aOnDecided);

  /** Drops a request that was not decided yet. */
  void Withdraw(std::uint64_t aNumber);

  /** Gives a slot back. */
  void Release(const Slot& aSlot,
               routing::UseOutcome aOutcome,
               std::chrono::nanoseconds aDuration,
               const std::optional<routing::LoadSample>& aSample);

  /** Returns the requests that wait. */
  std::size_t WaitingCount() const;

private:
  struct Pending
  {
    std::string service;
    DecidedFunction onDecided;
  };

  routing::ServiceDispatcher& DispatcherOf(const std::string& aService);
  void OnDecided(std::uint64_t aNumber, const routing::DispatchResult& aResult);
  void ScheduleTick();

  core::NowFunction now;
  core::RandomFunction random;
  boost::asio::steady_timer timer;
  std::optional<core::TimePoint> timerDue;
  routing::DispatcherSettings settings;
  std::map<std::string, std::unique_ptr<routing::ServiceDispatcher>, std::less<>>
    dispatchers;
  std::map<std::uint64_t, Pending> pending;
  std::uint64_t lastNumber = 0;
};

} // namespace fireflytrail::proxy
