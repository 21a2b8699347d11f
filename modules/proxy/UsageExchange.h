#pragma once

#include "core/BootClock.h"
#include "core/DaemonId.h"
#include "core/Hooks.h"
#include "proxy/PeerHost.h"
#include "usage/Figures.h"
#include "usage/FleetClock.h"
#include "usage/UsageLedger.h"
#include "wire/UsageNews.h"
#include "wire/UsageRequest.h"
#include "wire/WireMessage.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace fireflytrail::proxy {

/** What a `UsageExchange` needs from its daemon. All functions must be set. */
struct UsageExchangeHooks
{
  core::BootNowFunction now;
  core::WallNowFunction wallNow;
  /** Returns the live daemons except this one. */
  std::function<std::vector<PeerHost>()> peers;
  /** Sends a message to one daemon; it may be lost. */
  std::function<void(const std::string& aTo, wire::WireMessage)> send;
};

/**
 * Counts the requests that servers began to run here, and brings the counts of
 * all daemons together.
 *
 * In each failure domain the first `kKeeperCount` daemons, strong hosts first,
 * keep the counters of all daemons of their domain: each sends what has changed
 * every `kPushInterval`, which bounds what is lost with a host, and the whole
 * window once it is complete. The daemon that reports requests a window from
 * one keeper of each other domain, so that counters cross domains once, and
 * then directly from the live daemons that it lacks.
 *
 * Keepers compare the clocks of their domain; see `usage::FleetClock`. Performs
 * no I/O. Not thread-safe.
 */
class UsageExchange
{
public:
  static constexpr std::size_t kKeeperCount = 2;
  static constexpr std::chrono::milliseconds kPushInterval{ 1000 };
  /** Time after which counters that were requested are requested elsewhere. */
  static constexpr std::chrono::milliseconds kRequestInterval{ 500 };
  /** Daemons that are asked at once. */
  static constexpr std::size_t kMaxRequests = 64;

  /** `aSelf` describes this daemon and `aStart` is the random number of its
   * process. */
  UsageExchange(PeerHost aSelf,
                std::uint64_t aStart,
                std::chrono::milliseconds aWindow,
                std::chrono::milliseconds aLate,
                UsageExchangeHooks aHooks);
  UsageExchange(const UsageExchange&) = delete;
  UsageExchange& operator=(const UsageExchange&) = delete;

  /** Counts a request that was sent to its server at a time. Returns false if
   * its window is no longer counted or there is no room. */
  bool Count(std::string_view aOrganisation, core::BootTime aSentAt);

  /** Sends the counts that have changed. Call every `kPushInterval`. */
  void Tick();

  /** Sends everything that is kept here to other daemons, which keep it; call
   * at the end of the process. */
  void HandOver();

  /** Handles the counters of another daemon. */
  void OnNews(const core::DaemonId& aFrom, const wire::UsageNews& aNews);

  /** Sends another daemon the counters that it requests. */
  void OnRequest(const core::DaemonId& aFrom,
                 const wire::UsageRequest& aRequest);

  /**
   * Returns the sum of a window if the counters of all live daemons are
   * complete, or if `aIsLast`; otherwise requests the others and returns
   * nothing. For the daemon that reports.
   */
  std::optional<usage::Figures> Collect(usage::WindowNumber aWindow,
                                        bool aIsLast);

  /** Drops the windows up to one, whose figures are fixed. */
  void Forget(usage::WindowNumber aWindow);

  /** Returns the corrected time of day. */
  core::WallTimePoint TrueTime() const { return this->clock.Now(); }

  /** Returns this daemon's place among all in the order in which they may hold
   * the duty. */
  std::size_t DutyRank() const;

  /** Returns the other daemons that may hold the duty. */
  std::vector<std::string> DutyCandidates(std::size_t aCount) const;

  /** Returns the live daemons whose counters were missing in the last sum. */
  std::size_t MissingHosts() const { return this->missingHosts; }

private:
  /** Returns the keepers of this daemon's domain, which may include it. */
  std::vector<std::string> Keepers(const std::vector<PeerHost>& aPeers,
                                   std::string_view aDomain) const;
  bool IsKeeper(const std::vector<std::string>& aKeepers) const;
  void MarkCompleteWindows();
  /** Returns the counts that have changed since the last push. */
  wire::UsageNews TakeChanges();
  /** Returns the counters of some windows, those of this process alone or of
   * all that are kept here. */
  wire::UsageNews Everything(usage::WindowNumber aFirst,
                             usage::WindowNumber aLast,
                             bool aIsOwnOnly) const;
  void SendToKeepers(const std::vector<std::string>& aKeepers,
                     const wire::WireMessage& aMessage);
  void RequestMissing(usage::WindowNumber aWindow,
                      const std::vector<PeerHost>& aPeers,
                      const std::set<std::uint64_t>& aComplete);
  std::chrono::microseconds TimeForPeers() const;
  usage::UsageCounters& Own();

  PeerHost self;
  std::uint64_t start;
  std::chrono::milliseconds window;
  std::chrono::milliseconds late;
  UsageExchangeHooks hooks;
  usage::FleetClock clock;
  usage::UsageLedger ledger;
  usage::WindowNumber lastComplete = 0;
  /** Organisations whose counts here have changed since the last push. */
  std::map<usage::WindowNumber, std::set<std::string, std::less<>>> changed;
  std::vector<std::string> keepers;
  usage::WindowNumber fixedThrough = 0;
  usage::WindowNumber requestedWindow = 0;
  core::BootTime nextRequest{};
  std::size_t requests = 0;
  std::size_t missingHosts = 0;
};

} // namespace fireflytrail::proxy
