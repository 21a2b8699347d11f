#include "daemon/StoreFeed.h"

#include "configuration/DesiredState.h"
#include "gossip/WatcherElection.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace fireflytrail::daemon {

using configuration::DesiredState;
using std::chrono::milliseconds;
using store::StoreStatus;

namespace {

// Time between reads until the first desired state is received. It is short,
// because the daemon cannot serve without one.
constexpr milliseconds kInitialReadInterval{ 500 };
// A daemon that does not watch checks at this interval whether it has been
// elected.
constexpr milliseconds kElectionCheckInterval{ 1000 };

} // namespace

StoreFeed::StoreFeed(boost::asio::io_context& aContext,
                     const boost::asio::ip::tcp::endpoint& aStore,
                     StoreFeedHooks aHooks)
  : hooks(std::move(aHooks))
  , store(aContext, aStore, this->hooks.random)
  , desiredTimer(aContext)
  , hostsTimer(aContext)
{
  assert(this->hooks.isWatcher && this->hooks.onDesiredState);
  assert(this->hooks.onHostList && this->hooks.hostsVersion);
  assert(this->hooks.onReadSucceeded);
}

void
StoreFeed::Start()
{
  this->ReadDesired();
  this->ReadHosts();
}

void
StoreFeed::Stop()
{
  this->desiredTimer.cancel();
  this->hostsTimer.cancel();
}

void
StoreFeed::ReadDesired()
{
  this->Client().Read(std::string(DesiredState::kKey),
                      [this](const store::StoreResult& aResult) {
                        this->HandleDesiredResult(aResult);
                        if (this->seenDesiredVersion == 0) {
                          this->ScheduleDesiredRead(kInitialReadInterval);
                          return;
                        }
                        this->ScheduleDesiredRead(milliseconds(0));
                      });
}

void
StoreFeed::WatchDesired()
{
  this->Client().Watch(std::string(DesiredState::kKey),
                       this->seenDesiredVersion,
                       [this](const store::StoreResult& aResult) {
                         this->HandleDesiredResult(aResult);
                         this->ScheduleDesiredRead(milliseconds(0));
                       });
}

void
StoreFeed::HandleDesiredResult(const store::StoreResult& aResult)
{
  if (aResult.status == StoreStatus::Ok) {
    this->seenDesiredVersion =
      std::max(this->seenDesiredVersion, aResult.object.version);
    this->hooks.onDesiredState(aResult.object.version, aResult.object.body);
  }
  if (aResult.status == StoreStatus::Ok ||
      aResult.status == StoreStatus::NotFound ||
      aResult.status == StoreStatus::NotModified) {
    this->hooks.onReadSucceeded();
  }
}

void
StoreFeed::ScheduleDesiredRead(milliseconds aDelay)
{
  if (this->seenDesiredVersion > 0 && this->hooks.isWatcher()) {
    this->WatchDesired();
    return;
  }
  // An `aDelay` of zero selects the usual time between the reads of a daemon
  // that does not watch. The wait is divided into steps, and the election is
  // checked after each.
  const milliseconds readDelay =
    aDelay.count() > 0
      ? aDelay
      : gossip::WatcherElection::NextReadDelay(this->hooks.random);
  const auto readTime = std::chrono::steady_clock::now() + readDelay;
  this->WaitForNextRead(readTime);
}

void
StoreFeed::WaitForNextRead(core::TimePoint aReadTime)
{
  const auto now = std::chrono::steady_clock::now();
  if (now >= aReadTime) {
    this->ReadDesired();
    return;
  }
  this->desiredTimer.expires_after(std::min<core::TimePoint::duration>(
    aReadTime - now, kElectionCheckInterval));
  this->desiredTimer.async_wait(
    [this, aReadTime](boost::system::error_code aError) {
      if (aError) {
        return;
      }
      if (this->seenDesiredVersion > 0 && this->hooks.isWatcher()) {
        this->WatchDesired();
        return;
      }
      this->WaitForNextRead(aReadTime);
    });
}

void
StoreFeed::ReadHosts()
{
  const std::uint64_t knownVersion = this->hooks.hostsVersion();
  this->Client().Hosts(knownVersion, [this](const store::HostsResult& aResult) {
    if (aResult.status == StoreStatus::Ok) {
      this->hooks.onHostList(aResult.list.version, aResult.text);
    }
    if (aResult.status == StoreStatus::Ok ||
        aResult.status == StoreStatus::NotModified) {
      this->hooks.onReadSucceeded();
    }
    this->ScheduleHostsRead();
  });
}

void
StoreFeed::ScheduleHostsRead()
{
  const milliseconds interval =
    this->hooks.hostsVersion() == 0 || this->hooks.isWatcher()
      ? kHostsReadInterval
      : kHostsFallbackInterval;
  // Jitter spreads the reads of daemons that started together.
  const milliseconds jitter(this->hooks.random() % (interval.count() / 2));
  this->hostsTimer.expires_after(interval * 3 / 4 + jitter);
  this->hostsTimer.async_wait([this](boost::system::error_code aError) {
    if (!aError) {
      this->ReadHosts();
    }
  });
}

} // namespace fireflytrail::daemon
