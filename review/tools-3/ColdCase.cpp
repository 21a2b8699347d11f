// The servers of a zone come back cold together; the machine that dispatches
// their service is killed while they are cold.
#include "Backend.h"
#include "Harness.h"

#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <deque>
#include <map>
#include <memory>
#include <vector>

using namespace fireflytrail::review;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

constexpr unsigned kDaemons = 19;
constexpr unsigned kInstances = 2;
constexpr auto kService = "valvecall";
// WarmupPerS, ColdOver and ColdSlack.
constexpr double kWarmupPerS = 5.4;
constexpr double kColdOver = 1.5;
constexpr double kColdSlack = 5;
// Rate well above the first one, at which a cold instance crashes.
constexpr std::size_t kCrashRate = 15;
constexpr auto kColdTime = 3000ms;
// How long the servers of the zone are down, and the killed machine.
constexpr auto kServersDown = 4000ms;
constexpr auto kMachineDown = 3500ms;
constexpr auto kKillDelay = 800ms;
constexpr unsigned kRounds = 4;

struct Case
{
  explicit Case(Harness& aHarness)
    : harness(aHarness)
  {
  }

  Harness& harness;
  std::vector<std::unique_ptr<Backend>> backends;
  std::vector<bool> isReady = std::vector<bool>(kDaemons, true);
  std::map<std::string, TimePoint> sentAt;
  /** Arrivals at each cold instance that were sent less than a second ago. */
  std::map<std::string, std::deque<std::pair<TimePoint, TimePoint>>> arrivals;
  std::map<std::string, std::size_t> most;
  std::map<unsigned, unsigned> statuses;
  bool isOver = false;
  std::size_t worst = 0;
  unsigned crashes = 0;
  /** Accepted requests that were lost with an instance that crashed. */
  unsigned lost = 0;
  bool areServersDown = false;

  /** Counts the requests that were sent and arrived inside one second. */
  void OnArrival(Backend& aBackend, const std::string& aId)
  {
    if (aBackend.ColdLeft().count() <= 0) {
      return;
    }
    const TimePoint now = Clock::now();
    auto& list = this->arrivals[aBackend.Id()];
    list.emplace_back(now, this->sentAt[aId]);
    while (now - list.front().first >= 1s) {
      list.pop_front();
    }
    const auto count = static_cast<std::size_t>(
      std::ranges::count_if(list, [now](const auto& aArrival) {
        return now - aArrival.second < 1s;
      }));
    this->worst = std::max(this->worst, count);
    std::size_t& most = this->most[aBackend.Id()];
    if (count > most) {
      most = count;
      if (count > 8) {
        this->harness.Record(
          fmt::format("cold instance {}: request {} is number {} in one second",
                      aBackend.Id(),
                      aId,
                      count));
      }
    }
    if (count >= kCrashRate) {
      ++this->crashes;
      this->harness.Record(
        fmt::format("cold instance {} crashes", aBackend.Id()));
      aBackend.Crash();
    }
  }

  asio::awaitable<void> WatchReadiness(unsigned aDaemon)
  {
    while (!this->isOver) {
      this->isReady[aDaemon] = co_await this->harness.IsReady(aDaemon);
      co_await this->harness.Wait(1000ms);
    }
  }

  /** One caller of each daemon, about two requests a second. */
  asio::awaitable<void> Send(unsigned aDaemon)
  {
    unsigned count = 0;
    co_await this->harness.Wait(Milliseconds(aDaemon * 26));
    while (!this->isOver) {
      if (this->isReady[aDaemon]) {
        const std::string id = fmt::format("r{:02}-{:05}", aDaemon, ++count);
        this->harness.Spawn(
          [this, aDaemon, id] { return this->One(aDaemon, id); });
      }
      co_await this->harness.Wait(500ms);
    }
  }

  asio::awaitable<void> One(unsigned aDaemon, std::string aId)
  {
    this->sentAt[aId] = Clock::now();
    const Reply reply = co_await this->harness.Request(
      aDaemon, "POST", "/valve/" + aId, aId, "body of " + aId, 800ms);
    ++this->statuses[reply.status];
    this->lost += reply.status == 502 && !this->areServersDown ? 1 : 0;
  }

  asio::awaitable<void> Run(bool aHasTrouble)
  {
    co_await this->harness.Wait(5000ms);
    for (unsigned daemon = 0; daemon < kDaemons; ++daemon) {
      this->harness.Spawn(
        [this, daemon] { return this->WatchReadiness(daemon); });
      this->harness.Spawn([this, daemon] { return this->Send(daemon); });
    }
    co_await this->harness.Wait(6000ms);
    const unsigned dispatcher = this->harness.DispatcherOf(kService);
    for (unsigned round = 0; round < kRounds; ++round) {
      this->harness.Record("the servers of the zone go down");
      this->areServersDown = true;
      for (const auto& backend : this->backends) {
        backend->Crash();
      }
      co_await this->harness.Wait(kServersDown);
      this->areServersDown = false;
      for (const auto& backend : this->backends) {
        backend->SetColdTime(kColdTime);
        backend->Start();
        this->harness.Record(
          fmt::format("instance {} is back, cold", backend->Id()));
      }
      co_await this->harness.Wait(kKillDelay);
      if (aHasTrouble) {
        this->harness.Record(
          fmt::format("SIGKILL to daemon {}, which dispatches", dispatcher));
        this->harness.daemons[dispatcher]->SendSignal(SIGKILL);
        co_await this->harness.Wait(kMachineDown);
        while (this->harness.daemons[dispatcher]->IsRunning()) {
          co_await this->harness.Wait(20ms);
        }
        this->harness.Restart(dispatcher);
      } else {
        co_await this->harness.Wait(kMachineDown);
      }
      co_await this->harness.Wait(8000ms);
    }
    this->isOver = true;
    co_await this->harness.Wait(2000ms);
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
  harness.PutConfiguration(
    1, { { "valve", "/valve/", kService, false, 2, 800 } }, { kService });
  for (unsigned index = 0; index < kInstances; ++index) {
    auto backend = std::make_unique<Backend>(harness, kService, "a", index);
    backend->onArrive = [&test](Backend& aBackend,
                                const fireflytrail::soak::HttpRequest& aRequest)
      -> std::optional<fireflytrail::soak::HttpResponse> {
      test.OnArrival(aBackend, std::string(aRequest["X-Request-Id"]));
      return std::nullopt;
    };
    backend->onRun = [](Backend& aBackend,
                        const fireflytrail::soak::HttpRequest&) {
      return Backend::Run{ .work =
                             aBackend.ColdLeft().count() > 0 ? 102ms : 51ms };
    };
    backend->Start();
    test.backends.push_back(std::move(backend));
  }
  if (!harness.FindPorts(kDaemons)) {
    return static_cast<int>(Verdict::CouldNotRun);
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
  for (const auto& [id, most] : test.most) {
    harness.Record(fmt::format(
      "instance {}: at most {} requests in one second while cold", id, most));
  }
  harness.Record(fmt::format("{} cold instances crashed, {} accepted requests "
                             "were lost with them",
                             test.crashes,
                             test.lost));
  const double allowed = kWarmupPerS * kColdOver + kColdSlack;
  const bool isBroken = static_cast<double>(test.worst) > allowed;
  harness.Record(fmt::format("FAILBACK: a cold instance got {} requests in one "
                             "second, {:.1f} allowed: {}",
                             test.worst,
                             allowed,
                             isBroken ? "broken" : "held"));
  if (test.statuses[200] == 0 || test.most.empty()) {
    return static_cast<int>(Verdict::CouldNotRun);
  }
  return static_cast<int>(isBroken ? Verdict::Broken : Verdict::Held);
}
