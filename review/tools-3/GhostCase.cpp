// An instance leaves, then all processes are killed at the same moment. In one
// zone, lists with AllowStale are some seconds old.
#include "Backend.h"
#include "Harness.h"
#include "LaggingReplica.h"

#include <fmt/format.h>

#include <csignal>
#include <map>
#include <memory>
#include <set>
#include <vector>

using namespace fireflytrail::review;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

constexpr unsigned kDaemons = 19;
// Machines in the zone whose copy of the store lags.
constexpr unsigned kLagging = 6;
constexpr auto kLaggingZone = "c";
constexpr unsigned kRounds = 4;
// DrainMs and StabilityWindowMs.
constexpr auto kDrain = 2000ms;
constexpr auto kStabilityWindow = 3000ms;
// How old a list with AllowStale is in the zone.
constexpr auto kLag = 4000ms;
constexpr auto kKillDelay = 1500ms;
constexpr auto kDown = 1000ms;
// How long the instance serves on after its entry was removed.
constexpr auto kServesOn = 6200ms;
// Time from the end of a round's kills to the next round.
constexpr auto kRoundTime = 14'000ms;
constexpr auto kWork = 500ms;

struct Case
{
  explicit Case(Harness& aHarness)
    : harness(aHarness)
    , replica(aHarness, kLag)
  {
  }

  Harness& harness;
  LaggingReplica replica;
  std::vector<std::unique_ptr<Backend>> backends;
  std::string service;
  struct Sent
  {
    TimePoint at;
    unsigned daemon = 0;
  };
  std::map<std::string, Sent> sent;
  std::map<unsigned, unsigned> statuses;
  std::map<std::string, TimePoint> goneAt;
  TimePoint inTouchFrom{};
  bool isUp = true;
  bool isOver = false;
  unsigned late = 0;
  unsigned number = 0;

  Backend& AddBackend(const std::string& aZone)
  {
    auto backend = std::make_unique<Backend>(
      this->harness, this->service, aZone, this->number++);
    backend->onArrive = [this](Backend& aBackend,
                               const fireflytrail::soak::HttpRequest& aRequest)
      -> std::optional<fireflytrail::soak::HttpResponse> {
      this->OnArrival(aBackend, std::string(aRequest["X-Request-Id"]));
      return std::nullopt;
    };
    backend->onRun = [](Backend&, const fireflytrail::soak::HttpRequest&) {
      return Backend::Run{ .work = kWork };
    };
    backend->decorate = [this](Backend& aBackend,
                               fireflytrail::soak::HttpResponse& aResponse) {
      if (this->goneAt.contains(aBackend.Id())) {
        aResponse.set("Server-Leaving", "1");
      }
    };
    backend->Start();
    this->backends.push_back(std::move(backend));
    return *this->backends.back();
  }

  void OnArrival(const Backend& aBackend, const std::string& aId)
  {
    const auto gone = this->goneAt.find(aBackend.Id());
    if (gone == this->goneAt.end()) {
      return;
    }
    const Sent& request = this->sent[aId];
    const auto since =
      std::chrono::duration_cast<Milliseconds>(Clock::now() - gone->second);
    const bool isLate = since > kDrain && request.at >= this->inTouchFrom;
    this->late += isLate ? 1 : 0;
    this->harness.Record(fmt::format(
      "request {} by daemon {} reaches instance {} {} ms after it was gone{}",
      aId,
      request.daemon,
      aBackend.Id(),
      since.count(),
      isLate ? ": too late" : ""));
  }

  asio::awaitable<void> One(unsigned aDaemon, std::string aId)
  {
    this->sent[aId] = { Clock::now(), aDaemon };
    const Reply reply = co_await this->harness.Request(
      aDaemon, "POST", "/valve/" + aId, aId, "body of " + aId, 1500ms);
    ++this->statuses[reply.status];
    if (reply.status == 502) {
      this->harness.Record(fmt::format("request {} is lost", aId));
    }
  }

  asio::awaitable<void> Send(unsigned aDaemon)
  {
    unsigned count = 0;
    while (!this->isOver) {
      if (this->isUp && Clock::now() >= this->inTouchFrom) {
        const std::string id = fmt::format("v{}-{:04}", aDaemon, ++count);
        this->harness.Spawn(
          [this, aDaemon, id] { return this->One(aDaemon, id); });
      }
      co_await this->harness.Wait(400ms);
    }
  }

  asio::awaitable<void> End(Backend& aBackend)
  {
    co_await this->harness.Wait(kServesOn);
    this->harness.Record(
      fmt::format("instance {} ends as planned", aBackend.Id()));
    aBackend.Crash();
  }

  asio::awaitable<void> Run(bool aHasTrouble)
  {
    co_await this->harness.Wait(5000ms);
    this->inTouchFrom = Clock::now();
    for (unsigned daemon = 0; daemon < kDaemons; ++daemon) {
      this->harness.Spawn([this, daemon] { return this->Send(daemon); });
    }
    Backend* leaving = this->backends.front().get();
    for (unsigned round = 0; round < kRounds; ++round) {
      co_await this->harness.Wait(7000ms);
      this->goneAt[leaving->Id()] = Clock::now();
      this->harness.store.Remove("servers", leaving->Id());
      this->harness.Record(fmt::format(
        "the entry of instance {} is removed; it serves on", leaving->Id()));
      this->harness.Spawn([this, leaving] { return this->End(*leaving); });
      co_await this->harness.Wait(kKillDelay);
      if (aHasTrouble) {
        this->isUp = false;
        for (const auto& daemon : this->harness.daemons) {
          daemon->SendSignal(SIGKILL);
        }
        this->harness.Record("all daemons are killed");
        co_await this->harness.Wait(kDown);
        for (unsigned daemon = 0; daemon < kDaemons; ++daemon) {
          while (this->harness.daemons[daemon]->IsRunning()) {
            co_await this->harness.Wait(5ms);
          }
          this->harness.Restart(daemon);
        }
        this->inTouchFrom = Clock::now() + kStabilityWindow + 100ms;
        this->isUp = true;
      }
      co_await this->harness.Wait(kRoundTime);
      // A new instance takes the place of the one that left.
      leaving = &this->AddBackend(kLaggingZone);
      this->harness.Record(fmt::format("instance {} starts", leaving->Id()));
    }
    this->isOver = true;
    co_await this->harness.Wait(2500ms);
    this->harness.context.stop();
  }
};

} // namespace

int
main(int aCount, char** aArguments)
{
  if (aCount != 4) {
    return static_cast<int>(Verdict::CouldNotRun);
  }
  const bool hasTrouble = NumberOf("TROUBLE", 1) != 0;
  Harness harness(aArguments[1], aArguments[2], aArguments[3]);
  Case test(harness);
  if (!harness.FindPorts(kDaemons)) {
    return static_cast<int>(Verdict::CouldNotRun);
  }
  // The first three watch the store; the machines of the zone are others. One
  // of them dispatches the service.
  const std::vector<unsigned> order = harness.WatchOrder();
  const std::set<unsigned> lagging(order.end() - kLagging, order.end());
  const std::uint16_t replicaPort = test.replica.Open();
  for (unsigned place = 0; place < kDaemons; ++place) {
    const bool isLagging = lagging.contains(order[place]);
    harness.SetZone(order[place],
                    isLagging ? kLaggingZone : (place % 2 == 0 ? "a" : "b"));
    if (isLagging) {
      harness.SetStorePort(order[place], replicaPort);
      harness.Record(fmt::format("daemon {} is in zone {}, where lists with "
                                 "AllowStale are {} ms old",
                                 order[place],
                                 kLaggingZone,
                                 Milliseconds(kLag).count()));
    }
  }
  unsigned suffix = 0;
  do {
    test.service = fmt::format("valvecall-{}", ++suffix);
  } while (!lagging.contains(harness.DispatcherOf(test.service)));
  harness.Record(fmt::format("daemon {} dispatches {}",
                             harness.DispatcherOf(test.service),
                             test.service));
  harness.PutConfiguration(
    1,
    { { "valve", "/valve/", test.service, false, 2, 1500 } },
    { test.service });
  for (const char* zone : { kLaggingZone, "a", "b" }) {
    test.AddBackend(zone);
  }
  harness.StartDaemons();
  harness.Spawn([&] { return test.Run(hasTrouble); });
  harness.context.run();
  if (harness.IsInterrupted()) {
    return static_cast<int>(Verdict::CouldNotRun);
  }
  for (const auto& [status, count] : test.statuses) {
    harness.Record(fmt::format("answers with status {}: {}", status, count));
  }
  const bool isBroken = test.late > 0;
  harness.Record(fmt::format(
    "DRAIN: {} requests reached an instance later than {} ms after the store "
    "had acknowledged that it is gone, sent to and by machines in touch: {}",
    test.late,
    Milliseconds(kDrain).count(),
    isBroken ? "broken" : "held"));
  if (test.statuses[200] == 0) {
    return static_cast<int>(Verdict::CouldNotRun);
  }
  return static_cast<int>(isBroken ? Verdict::Broken : Verdict::Held);
}
