// A request that crashes the instances that run it comes again at any machine,
// while the daemons are stopped and started in turn.
#include "Backend.h"
#include "Harness.h"

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

constexpr unsigned kDaemons = 6;
constexpr unsigned kInstances = 12;
// StabilityWindowMs and the bound of the rule.
constexpr auto kStabilityWindow = 3000ms;
constexpr std::size_t kAllowedRetries = 3;
constexpr std::size_t kCrashesBefore = 3;
constexpr auto kRestartDelay = 500ms;
constexpr auto kInstanceDown = 2000ms;

struct Case
{
  explicit Case(Harness& aHarness)
    : harness(aHarness)
  {
  }

  Harness& harness;
  std::vector<std::unique_ptr<Backend>> backends;
  /** Times at which an instance crashed with the request. */
  std::vector<TimePoint> crashes;
  /** Ids of the poison attempts sent late enough by machines in touch. */
  std::set<std::string> judged;
  /** Those of them that reached an instance. */
  std::set<std::string> reached;
  std::vector<TimePoint> inTouchFrom =
    std::vector<TimePoint>(kDaemons, TimePoint{});
  std::vector<bool> isReady = std::vector<bool>(kDaemons, false);
  bool isOver = false;
  unsigned lostOthers = 0;
  unsigned served = 0;
  unsigned refused = 0;
  unsigned others = 0;

  asio::awaitable<void> Return(Backend& aBackend)
  {
    co_await this->harness.Wait(kInstanceDown);
    aBackend.Start();
    this->harness.Record(fmt::format("instance {} started", aBackend.Id()));
  }

  void OnCrash(Backend& aBackend, const std::string& aId)
  {
    this->crashes.push_back(Clock::now());
    this->harness.Record(fmt::format(
      "instance {} crashed with poison request {}", aBackend.Id(), aId));
    this->harness.Spawn([this, &aBackend] { return this->Return(aBackend); });
  }

  /** The platform's questions, once a second. */
  asio::awaitable<void> WatchReadiness(unsigned aDaemon)
  {
    while (!this->isOver) {
      this->isReady[aDaemon] = co_await this->harness.IsReady(aDaemon);
      co_await this->harness.Wait(1000ms);
    }
  }

  asio::awaitable<void> SendPoison()
  {
    unsigned count = 0;
    unsigned daemon = 0;
    while (!this->isOver) {
      for (unsigned step = 0; step < kDaemons; ++step) {
        daemon = (daemon + 1) % kDaemons;
        if (this->isReady[daemon]) {
          break;
        }
      }
      const std::string id = fmt::format("poison-{:04}", ++count);
      const TimePoint sentAt = Clock::now();
      if (this->isReady[daemon] && this->crashes.size() >= kCrashesBefore &&
          sentAt > this->crashes[kCrashesBefore - 1] + kStabilityWindow &&
          sentAt >= this->inTouchFrom[daemon]) {
        this->judged.insert(id);
      }
      const Reply reply = co_await this->harness.Request(
        daemon, "POST", "/book/slot-7", id, "poison", 1500ms);
      this->harness.Record(fmt::format(
        "poison request {} to daemon {}: status {}", id, daemon, reply.status));
      co_await this->harness.Wait(450ms);
    }
  }

  asio::awaitable<void> SendOthers(unsigned aNumber)
  {
    unsigned count = 0;
    while (!this->isOver) {
      const unsigned daemon = (aNumber + count) % kDaemons;
      ++count;
      if (this->isReady[daemon]) {
        const std::string id = fmt::format("o{}-{:05}", aNumber, count);
        ++this->others;
        const Reply reply = co_await this->harness.Request(
          daemon, "POST", "/book/" + id, id, "body of " + id, 1500ms);
        this->served += reply.status == 200 ? 1 : 0;
        this->refused += reply.status == 503 ? 1 : 0;
        if (reply.status == 502) {
          ++this->lostOthers;
          this->harness.Record(fmt::format(
            "ordinary request {} to daemon {}: status 502", id, daemon));
        }
      }
      co_await this->harness.Wait(20ms);
    }
  }

  /** Stops and starts one machine. */
  asio::awaitable<void> Roll(unsigned aDaemon)
  {
    this->harness.Record(
      fmt::format("platform: SIGTERM to daemon {}", aDaemon));
    this->inTouchFrom[aDaemon] = TimePoint::max();
    this->isReady[aDaemon] = false;
    auto& process = *this->harness.daemons[aDaemon];
    process.SendSignal(SIGTERM);
    const TimePoint end = Clock::now() + 6s;
    while (process.IsRunning() && Clock::now() < end) {
      co_await this->harness.Wait(50ms);
    }
    if (process.IsRunning()) {
      process.SendSignal(SIGKILL);
      while (process.IsRunning()) {
        co_await this->harness.Wait(20ms);
      }
    }
    co_await this->harness.Wait(kRestartDelay);
    this->harness.Restart(aDaemon);
    this->inTouchFrom[aDaemon] = Clock::now() + kStabilityWindow;
  }

  asio::awaitable<void> Run(bool aHasTrouble)
  {
    co_await this->harness.Wait(4000ms);
    for (unsigned daemon = 0; daemon < kDaemons; ++daemon) {
      this->harness.Spawn(
        [this, daemon] { return this->WatchReadiness(daemon); });
    }
    co_await this->harness.Wait(500ms);
    for (unsigned number = 0; number < 8; ++number) {
      this->harness.Spawn([this, number] { return this->SendOthers(number); });
    }
    co_await this->harness.Wait(2000ms);
    this->harness.Spawn([this] { return this->SendPoison(); });
    co_await this->harness.Wait(10'000ms);
    this->harness.Record(fmt::format("{} crashes and {} lost requests so far",
                                     this->crashes.size(),
                                     this->lostOthers));
    if (aHasTrouble) {
      for (unsigned step = 0; step < 2 * kDaemons; ++step) {
        co_await this->Roll(step % kDaemons);
        co_await this->harness.Wait(1300ms);
      }
    } else {
      co_await this->harness.Wait(40'000ms);
    }
    co_await this->harness.Wait(10'000ms);
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
  harness.PutConfiguration(
    1, { { "book", "/book/", "kilndesk", false, 2, 1500 } }, { "kilndesk" });
  for (unsigned index = 0; index < kInstances; ++index) {
    auto backend = std::make_unique<Backend>(
      harness,
      "kilndesk",
      std::string(1, static_cast<char>('a' + index % 3)),
      index);
    backend->onRun = [&test, &harness](
                       Backend& aBackend,
                       const fireflytrail::soak::HttpRequest& aRequest) {
      Backend::Run run{ .work = 250ms };
      if (aRequest.body() == "poison") {
        const std::string id(aRequest["X-Request-Id"]);
        if (test.judged.contains(id)) {
          test.reached.insert(id);
          harness.Record(
            fmt::format("poison request {} reached instance {}, number {} that "
                        "counts",
                        id,
                        aBackend.Id(),
                        test.reached.size()));
        }
        test.OnCrash(aBackend, id);
        run.work = 20ms;
        run.isCrash = true;
      }
      return run;
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
  harness.Record(fmt::format(
    "ordinary requests: {} sent, {} served, {} refused, {} lost (502)",
    test.others,
    test.served,
    test.refused,
    test.lostOthers));
  harness.Record(fmt::format("crashes: {}", test.crashes.size()));
  const bool isBroken = test.reached.size() > kAllowedRetries;
  harness.Record(
    fmt::format("BUDGET: {} retries of the poison request that machines in "
                "touch sent later than {} ms after the third crash reached "
                "instances, {} allowed: {}",
                test.reached.size(),
                Milliseconds(kStabilityWindow).count(),
                kAllowedRetries,
                isBroken ? "broken" : "held"));
  if (test.crashes.size() < kCrashesBefore || test.served == 0) {
    return static_cast<int>(Verdict::CouldNotRun);
  }
  return static_cast<int>(isBroken ? Verdict::Broken : Verdict::Held);
}
