#pragma once

#include "core/Hooks.h"
#include "store/AsyncStore.h"
#include "store/HostList.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

namespace fireflytrail::daemon {

/** Hooks of a `StoreFeed`. All functions must be set. */
struct StoreFeedHooks
{
  core::RandomFunction random;
  /** Whether this daemon is elected to watch the store. */
  std::function<bool()> isWatcher;
  /** Receives the version and the document of a desired state. */
  std::function<void(std::uint64_t, std::string)> onDesiredState;
  /** Receives the version and the text of a host list. */
  std::function<void(std::uint64_t, std::string)> onHostList;
  /** Version of the host list that the daemon holds; 0 for none. */
  std::function<std::uint64_t()> hostsVersion;
  /** Called after each read or watch that the store has answered without an
   * error, also if the object is unchanged or absent. */
  std::function<void()> onReadSucceeded;
};

/**
 * Reads the desired state and the host list from the store. Elected daemons
 * watch the desired state; the others read it about once a minute, because a
 * pending watch counts as a request and the store's rate limits do not grow
 * with the number of daemons. Use on the control thread only.
 */
class StoreFeed
{
public:
  /** Average times between two reads of the host list: on a daemon that watches
   * the store or has no list yet, and on the others, which receive the list
   * from their peers and read it as a fallback only. */
  static constexpr std::chrono::milliseconds kHostsReadInterval{ 2000 };
  static constexpr std::chrono::milliseconds kHostsFallbackInterval{ 60'000 };

  StoreFeed(boost::asio::io_context& aContext,
            const boost::asio::ip::tcp::endpoint& aStore,
            StoreFeedHooks aHooks);

  /** Starts reading. Call once. */
  void Start();

  /** Stops the timers. A read or watch that is still pending starts its timer
   * again when it ends. */
  void Stop();

  /** Returns the client, for writes. */
  store::StoreClient& Client() { return this->store.Client(); }

private:
  void ReadDesired();
  void WatchDesired();
  void ScheduleDesiredRead(std::chrono::milliseconds aDelay);
  void WaitForNextRead(core::TimePoint aReadTime);
  void HandleDesiredResult(const store::StoreResult& aResult);
  void ReadHosts();
  void ScheduleHostsRead();

  StoreFeedHooks hooks;
  store::AsyncStore store;
  boost::asio::steady_timer desiredTimer;
  boost::asio::steady_timer hostsTimer;
  std::uint64_t seenDesiredVersion = 0;
};

} // namespace fireflytrail::daemon
