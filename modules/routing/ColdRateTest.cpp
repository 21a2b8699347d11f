#include "routing/ServiceDispatcher.h"

#include "core/Hash.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

using namespace fireflytrail;
using namespace fireflytrail::routing;
using namespace std::chrono_literals;

namespace {

constexpr double kColdRate = 5.4;
constexpr double kDispatcherShare = 0.6;
constexpr double kFallbackShare = 0.25;
// The rate of a cold server times 1.5, plus 5: the bound of the platform for
// all hosts together in any one second.
constexpr std::size_t kAllowed = 13;

/**
 * Hosts that send to one cold server, each through its own dispatcher, and a
 * host that dispatches for all of them while it runs.
 */
class ColdFleet
{
public:
  ColdFleet(std::size_t aHosts, unsigned aSeed)
    : random(aSeed)
  {
    std::uniform_int_distribution<int> offset(0, kRequestInterval.count() - 1);
    for (std::size_t index = 0; index < aHosts; ++index) {
      this->hosts.push_back(
        { this->MakeDispatcher(index),
          this->time + std::chrono::milliseconds(offset(this->random)),
          0 });
    }
  }

  /** Lets the dispatching host end, and replaces it by one that knows nothing.
   */
  void ReplaceDispatching()
  {
    this->central = this->MakeDispatcher(this->hosts.size() + this->replaced);
    ++this->replaced;
    for (Host& host : this->hosts) {
      host.timeouts = 0;
    }
    this->isFallingBack = true;
  }

  /** Whether all hosts decide alone all the time. */
  bool isAlone = false;

  void Run(std::chrono::milliseconds aTime)
  {
    for (const core::TimePoint end = this->time + aTime; this->time < end;) {
      this->time += 1ms;
      for (Host& host : this->hosts) {
        if (this->time >= host.nextRequestAt) {
          host.nextRequestAt += kRequestInterval;
          this->Request(host);
        }
        host.own->Tick();
      }
      this->central->Tick();
    }
  }

  /** Returns the largest number of requests sent in any one second. */
  std::size_t MostInASecond() const
  {
    std::size_t most = 0;
    for (auto first = this->sent.begin(); first != this->sent.end(); ++first) {
      const auto end = std::upper_bound(first, this->sent.end(), *first + 1s);
      most = std::max(most, static_cast<std::size_t>(end - first));
    }
    return most;
  }

  std::size_t SentCount() const { return this->sent.size(); }

private:
  static constexpr std::chrono::milliseconds kRequestInterval{ 500 };
  // Requests without an answer after which a host asks the next one.
  static constexpr unsigned kTimeouts = 2;

  struct Host
  {
    std::unique_ptr<ServiceDispatcher> own;
    core::TimePoint nextRequestAt;
    unsigned timeouts = 0;
  };

  std::unique_ptr<ServiceDispatcher> MakeDispatcher(std::size_t aIndex)
  {
    DispatcherSettings settings;
    settings.hostKey = core::HashOf("host-" + std::to_string(aIndex));
    auto dispatcher = std::make_unique<ServiceDispatcher>(
      DispatcherHooks{ .now = [this] { return this->time; },
                       .random = [this] { return this->random(); },
                       .decided =
                         [this](std::uint64_t, const DispatchResult& aResult) {
                           if (aResult.instance) {
                             this->sent.push_back(this->time);
                           }
                         },
                       .measure = {},
                       .onRequestEnded = {},
                       .onLimitChanged = {},
                       .onLeaving = {} },
      settings);
    configuration::BackendService service;
    service.coldRequestsPerSecond = kColdRate;
    dispatcher->SetService(service);
    BackendInstance instance;
    instance.id = "cold";
    instance.service = "s";
    instance.slots = 100;
    instance.remainingColdTime = 60s;
    dispatcher->SetInstances(
      { { std::make_shared<const BackendInstance>(std::move(instance)) } });
    return dispatcher;
  }

  void Request(Host& aHost)
  {
    DispatchRequest request;
    request.id = ++this->lastId;
    request.goal = this->time + 600ms;
    request.deadline = this->time + 1500ms;
    if (this->isAlone ||
        (this->isFallingBack && aHost.timeouts++ < kTimeouts)) {
      const auto count = static_cast<double>(this->hosts.size());
      request.coldRateShare = kFallbackShare / count;
      request.independentHosts = this->hosts.size();
      aHost.own->Submit(std::move(request));
      return;
    }
    request.coldRateShare = kDispatcherShare;
    request.isCentrallyDispatched = true;
    this->central->Submit(std::move(request));
  }

  core::TimePoint time{ 1h };
  std::mt19937 random;
  std::vector<core::TimePoint> sent;
  std::uint64_t lastId = 0;
  std::size_t replaced = 0;
  bool isFallingBack = false;
  std::vector<Host> hosts;
  std::unique_ptr<ServiceDispatcher> central = this->MakeDispatcher(1000);
};

} // namespace

// Guards against a cold server that is overrun when the host that dispatches
// for all ends, because each other host then sends its first request at once.
BOOST_AUTO_TEST_CASE(ColdServerIsNotOverrunWhenTheDispatcherIsReplaced)
{
  for (const std::size_t hosts : { 19U, 107U }) {
    for (unsigned seed = 1; seed <= 20; ++seed) {
      ColdFleet fleet(hosts, seed);
      fleet.Run(800ms);
      fleet.ReplaceDispatching();
      fleet.Run(3500ms);
      fleet.ReplaceDispatching();
      fleet.Run(2000ms);
      BOOST_TEST(fleet.MostInASecond() <= kAllowed,
                 hosts << " hosts, seed " << seed << ": "
                       << fleet.MostInASecond());
      // The server still carries its share: 0.6 of the rate for 6.3 s.
      BOOST_TEST(fleet.SentCount() >= 14U);
    }
  }
}

// Guards against hosts that decide alone for long and that save up turns which
// they did not use, or all send when the first interval is over.
BOOST_AUTO_TEST_CASE(ColdServerIsNotOverrunByHostsThatDecideAlone)
{
  for (const std::size_t hosts : { 19U, 107U }) {
    for (unsigned seed = 1; seed <= 5; ++seed) {
      ColdFleet fleet(hosts, seed);
      fleet.isAlone = true;
      fleet.Run(30s);
      BOOST_TEST(fleet.MostInASecond() <= kAllowed / 2);
      BOOST_TEST(fleet.SentCount() > 0U);
    }
  }
}
