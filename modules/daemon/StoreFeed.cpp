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

// Before there is any configuration, the daemon cannot serve; it asks often.
constexpr milliseconds kFirstReadDelay{ 500 };
// A daemon that does not watch checks this often whether it has become a
// watcher.
constexpr milliseconds kElectionCheck{ 1000 };

} // namespace

StoreFeed::StoreFeed(boost::asio::io_context& aContext,
                     const boost::asio::ip::tcp::endpoint& aStore,
                     StoreFeedHooks aHooks)
  : hooks(std::move(aHooks))
  , store(aContext, aStore, this->hooks.random)
  , desiredTimer(aContext)
  , hostsTimer(aContext)
{
  assert(this->hooks.isWatcher && this->hooks.onDesired);
  assert(this->hooks.onHosts && this->hooks.hostsVersion);
  assert(this->hooks.onContact);
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
                        this->TakeDesired(aResult);
                        if (this->seenVersion == 0) {
                          this->ScheduleDesired(kFirstReadDelay);
                          return;
                        }
                        this->ScheduleDesired(milliseconds(0));
                      });
}

void
StoreFeed::WatchDesired()
{
  this->Client().Watch(std::string(DesiredState::kKey),
                       this->seenVersion,
                       [this](const store::StoreResult& aResult) {
                         this->TakeDesired(aResult);
                         this->ScheduleDesired(milliseconds(0));
                       });
}

void
StoreFeed::TakeDesired(const store::StoreResult& aResult)
{
  if (aResult.status == StoreStatus::Ok) {
    this->seenVersion = std::max(this->seenVersion, aResult.object.version);
    this->hooks.onDesired(aResult.object.version, aResult.object.body);
  }
  if (aResult.status == StoreStatus::Ok ||
      aResult.status == StoreStatus::NotFound ||
      aResult.status == StoreStatus::NotModified) {
    this->hooks.onContact();
  }
}

void
StoreFeed::ScheduleDesired(milliseconds aDelay)
{
  if (this->seenVersion > 0 && this->hooks.isWatcher()) {
    this->WatchDesired();
    return;
  }
  // `aDelay` of zero means the usual time of a daemon that does not watch,
  // waited in steps in which the election is checked again.
  const milliseconds total =
    aDelay.count() > 0
      ? aDelay
      : gossip::WatcherElection::NextReadDelay(this->hooks.random);
  const auto end = std::chrono::steady_clock::now() + total;
  this->WaitForTurn(end);
}

void
StoreFeed::WaitForTurn(core::TimePoint aEnd)
{
  const auto now = std::chrono::steady_clock::now();
  if (now >= aEnd) {
    this->ReadDesired();
    return;
  }
  this->desiredTimer.expires_after(
    std::min<core::TimePoint::duration>(aEnd - now, kElectionCheck));
  this->desiredTimer.async_wait([this, aEnd](boost::system::error_code aError) {
    if (aError) {
      return;
    }
    if (this->seenVersion > 0 && this->hooks.isWatcher()) {
      this->WatchDesired();
      return;
    }
    this->WaitForTurn(aEnd);
  });
}

void
StoreFeed::ReadHosts()
{
  const std::uint64_t known = this->hooks.hostsVersion();
  this->Client().Hosts(known, [this](const store::HostsResult& aResult) {
    if (aResult.status == StoreStatus::Ok) {
      this->hooks.onHosts(aResult.list.version, aResult.text);
    }
    if (aResult.status == StoreStatus::Ok ||
        aResult.status == StoreStatus::NotModified) {
      this->hooks.onContact();
    }
    this->ScheduleHosts();
  });
}

void
StoreFeed::ScheduleHosts()
{
  const milliseconds interval =
    this->hooks.hostsVersion() == 0 || this->hooks.isWatcher() ? kHostsInterval
                                                               : kHostsFallback;
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
