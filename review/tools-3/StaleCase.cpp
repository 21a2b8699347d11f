// Many machines lose power at the same moment, right after a change of the
// desired state. The others are in touch and have to follow the change.
#include "Backend.h"
#include "Harness.h"

#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <map>
#include <memory>
#include <vector>

using namespace fireflytrail::review;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

constexpr unsigned kDaemons = 19;
constexpr unsigned kKilled = 11;
constexpr unsigned kInstances = 3;
constexpr unsigned kRounds = 7;
// ConfigApplyMs.
constexpr auto kConfigApply = 2000ms;
constexpr auto kDark = 3000ms;
// Times of the two changes before the loss of power.
constexpr auto kFirstChange = 290ms;
constexpr auto kSecondChange = 250ms;

struct Case
{
  explicit Case(Harness& aHarness)
    : harness(aHarness)
  {
  }

  Harness& harness;
  std::vector<std::unique_ptr<Backend>> backends;
  std::vector<bool> isUp = std::vector<bool>(kDaemons, true);
  /** Service that the route goes to, and since when that is acknowledged. */
  std::string service = "paystall-1";
  TimePoint acknowledgedAt{};
  struct Sent
  {
    TimePoint at;
    unsigned daemon = 0;
    bool isJudged = false;
    std::string service;
  };
  std::map<std::string, Sent> sent;
  std::map<unsigned, unsigned> statuses;
  unsigned version = 1;
  unsigned stale = 0;
  Milliseconds latest{ 0 };
  bool isOver = false;

  void Put(const std::string& aTimeoutNote, unsigned aTimeoutMs)
  {
    this->harness.PutConfiguration(
      ++this->version,
      { { "pay", "/pay/", this->service, false, 2, 1500 },
        { "other", "/other/", "paystall-1", true, 2, aTimeoutMs } },
      { "paystall-1", "paystall-2" });
    this->harness.Record(aTimeoutNote);
  }

  asio::awaitable<void> One(unsigned aDaemon, std::string aId)
  {
    Sent& request = this->sent[aId];
    request.at = Clock::now();
    request.daemon = aDaemon;
    request.isJudged = request.at > this->acknowledgedAt + kConfigApply;
    request.service = this->service;
    const Reply reply = co_await this->harness.Request(
      aDaemon, "POST", "/pay/" + aId, aId, "body of " + aId, 1500ms);
    ++this->statuses[reply.status];
  }

  /** Callers of one daemon: a request every 80 ms. */
  asio::awaitable<void> Send(unsigned aDaemon)
  {
    unsigned count = 0;
    while (!this->isOver) {
      if (this->isUp[aDaemon]) {
        const std::string id = fmt::format("p{}-{:05}", aDaemon, ++count);
        this->harness.Spawn(
          [this, aDaemon, id] { return this->One(aDaemon, id); });
      }
      co_await this->harness.Wait(80ms);
    }
  }

  void OnRun(const std::string& aService, const std::string& aId)
  {
    const auto found = this->sent.find(aId);
    if (found == this->sent.end() || found->second.service == aService) {
      return;
    }
    const auto late = std::chrono::duration_cast<Milliseconds>(
      found->second.at - this->acknowledgedAt);
    this->latest = std::max(this->latest, late);
    if (found->second.isJudged) {
      ++this->stale;
      this->harness.Record(fmt::format(
        "request {} by daemon {}, sent {} ms after the acknowledgement of r{}, "
        "is run by {}",
        aId,
        found->second.daemon,
        late.count(),
        this->version,
        aService));
    }
  }

  asio::awaitable<void> Run(bool aHasTrouble)
  {
    co_await this->harness.Wait(5000ms);
    for (unsigned daemon = 0; daemon < kDaemons; ++daemon) {
      this->harness.Spawn([this, daemon] { return this->Send(daemon); });
    }
    co_await this->harness.Wait(5000ms);
    const std::vector<unsigned> order = this->harness.WatchOrder();
    for (unsigned round = 0; round < kRounds; ++round) {
      // Different moments between two heartbeats.
      co_await this->harness.Wait(Milliseconds(round * 70));
      this->Put("the first change", 1900 + round);
      co_await this->harness.Wait(kFirstChange - kSecondChange);
      this->service =
        this->service == "paystall-1" ? "paystall-2" : "paystall-1";
      this->Put("acknowledged: /pay/ goes to " + this->service, 1900 + round);
      this->acknowledgedAt = Clock::now();
      co_await this->harness.Wait(kSecondChange);
      if (aHasTrouble) {
        for (unsigned index = 0; index < kKilled; ++index) {
          this->isUp[order[index]] = false;
          this->harness.daemons[order[index]]->SendSignal(SIGKILL);
        }
        this->harness.Record(fmt::format("{} daemons are killed", kKilled));
      }
      co_await this->harness.Wait(kDark);
      if (aHasTrouble) {
        for (unsigned index = 0; index < kKilled; ++index) {
          while (this->harness.daemons[order[index]]->IsRunning()) {
            co_await this->harness.Wait(10ms);
          }
          this->harness.Restart(order[index]);
        }
      }
      co_await this->harness.Wait(3500ms);
      for (unsigned index = 0; index < kKilled; ++index) {
        this->isUp[order[index]] = true;
      }
      co_await this->harness.Wait(3500ms);
      this->harness.Record(
        fmt::format("latest request that the earlier service ran: {} ms after "
                    "the acknowledgement",
                    this->latest.count()));
      this->latest = Milliseconds(0);
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
  test.Put("begin", 1900);
  test.acknowledgedAt = Clock::now();
  for (const std::string service : { "paystall-1", "paystall-2" }) {
    for (unsigned index = 0; index < kInstances; ++index) {
      const auto number = static_cast<unsigned>(test.backends.size());
      auto backend = std::make_unique<Backend>(
        harness,
        service,
        std::string(1, static_cast<char>('a' + index % 3)),
        number);
      backend->onRun =
        [&test, service](Backend&,
                         const fireflytrail::soak::HttpRequest& aRequest) {
          test.OnRun(service, std::string(aRequest["X-Request-Id"]));
          return Backend::Run{ .work = 15ms };
        };
      backend->Start();
      test.backends.push_back(std::move(backend));
    }
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
  const bool isBroken = test.stale > 0;
  harness.Record(
    fmt::format("CONFIG: {} requests sent later than {} ms after the "
                "acknowledgement were run by the earlier service: {}",
                test.stale,
                Milliseconds(kConfigApply).count(),
                isBroken ? "broken" : "held"));
  if (test.statuses[200] == 0) {
    return static_cast<int>(Verdict::CouldNotRun);
  }
  return static_cast<int>(isBroken ? Verdict::Broken : Verdict::Held);
}
