#include "usage/ReportDuty.h"

#include "usage/WindowTimes.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace fireflytrail::usage {

namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr milliseconds kWindow = 5000ms;
constexpr milliseconds kLease = 3000ms;
constexpr milliseconds kStoreTimeout = 750ms;
constexpr milliseconds kCallTimeout = 2000ms;
// A call is excused if its sender was thawed within this time.
constexpr milliseconds kThawSlack = 300ms;
constexpr core::WallTimePoint kEpoch{ 1'800'000'000s };

/** A call that has arrived at the platform. */
struct Arrival
{
  milliseconds at{ 0 };
  std::string holder;
  std::uint64_t fence = 0;
  bool isExcused = false;
};

/**
 * Some daemons, the store and the platform in virtual time, with faults drawn
 * from a seed. `violations` collects the rules that were broken.
 */
class World
{
public:
  /** `aLosesFigures` stores no fixed figures, and `aLosesFence` no fence. */
  World(unsigned aSeed, bool aLosesFigures, bool aLosesFence)
    : random(aSeed)
    , losesFigures(aLosesFigures)
    , losesFence(aLosesFence)
  {
    for (std::size_t index = 0; index < 4; ++index) {
      this->hosts.push_back(std::make_unique<Host>());
      this->hosts.back()->name = fmt::format("entry-{}", index);
      this->StartHost(index);
    }
  }

  void Run(milliseconds aTime, bool aHasFaults)
  {
    const milliseconds end = this->now + aTime;
    if (aHasFaults) {
      this->At(1000ms, [this, end] { this->ScheduleFaults(end); });
    }
    while (!this->events.empty() && this->events.begin()->first <= end) {
      auto event = this->events.extract(this->events.begin());
      this->now = event.key();
      event.mapped()();
    }
    this->now = end;
  }

  /** Returns the windows that have ended and were neither reported nor given
   * up, apart from the last two. Windows before the last creation of the object
   * belong to nobody. */
  std::size_t OpenWindows() const
  {
    const WindowNumber last = WindowAt(kEpoch + this->now, kWindow) - 3;
    std::size_t open = 0;
    const milliseconds begin = this->creations.back();
    for (WindowNumber window = WindowAt(kEpoch + begin, kWindow); window < last;
         ++window) {
      open +=
        !this->acknowledged.contains(window) && !this->missing.contains(window)
          ? 1
          : 0;
    }
    return open;
  }

  std::vector<std::string> violations;
  std::map<WindowNumber, std::string> missing;
  std::map<WindowNumber, Figures> accepted;
  std::set<WindowNumber> acknowledged;
  bool hasLostData = false;
  unsigned takeovers = 0;

private:
  struct Host
  {
    std::string name;
    unsigned lifetime = 0;
    bool isAlive = false;
    milliseconds frozenUntil{ 0 };
    milliseconds thawedAt{ -1000 };
    milliseconds refusedUntil{ 0 };
    milliseconds clockStep{ 0 };
    std::vector<std::function<void()>> held;
    std::unique_ptr<ReportDuty> duty;
  };

  struct Copy
  {
    std::optional<std::string> text;
    std::uint64_t objectRevision = 0;
    std::uint64_t revision = 0;
  };

  int Draw(int aLimit)
  {
    return static_cast<int>(this->random() %
                            static_cast<std::uint64_t>(aLimit));
  }

  void At(milliseconds aDelay, std::function<void()> aEvent)
  {
    this->events.emplace(this->now + aDelay, std::move(aEvent));
  }

  /** Runs a function in a process, after its thaw; never if it has ended. */
  void InProcess(Host& aHost, unsigned aLifetime, std::function<void()> aRun)
  {
    if (!aHost.isAlive || aHost.lifetime != aLifetime) {
      return;
    }
    if (this->now < aHost.frozenUntil) {
      this->At(aHost.frozenUntil - this->now,
               [this, &aHost, aLifetime, run = std::move(aRun)] {
                 this->InProcess(aHost, aLifetime, run);
               });
      return;
    }
    aRun();
  }

  void Freeze(Host& aHost, milliseconds aTime)
  {
    aHost.frozenUntil = std::max(aHost.frozenUntil, this->now + aTime);
    aHost.thawedAt = aHost.frozenUntil;
  }

  void StartHost(std::size_t aIndex)
  {
    Host& host = *this->hosts[aIndex];
    const unsigned lifetime = ++host.lifetime;
    host.isAlive = true;
    host.frozenUntil = this->now;
    ReportDutySettings settings{ host.name, (aIndex + 1) * 1000 + lifetime,
                                 kWindow,   10'000ms,
                                 kLease,    50 };
    host.duty = std::make_unique<ReportDuty>(
      settings, this->MakeHooks(host, aIndex, lifetime));
    this->Tick(host, lifetime);
  }

  void Tick(Host& aHost, unsigned aLifetime)
  {
    this->InProcess(aHost, aLifetime, [this, &aHost, aLifetime] {
      aHost.duty->Tick();
      this->At(aHost.duty->TickInterval() + milliseconds(this->Draw(30)),
               [this, &aHost, aLifetime] { this->Tick(aHost, aLifetime); });
    });
  }

  ReportDutyHooks MakeHooks(Host& aHost, std::size_t aIndex, unsigned aLifetime)
  {
    ReportDutyHooks hooks;
    hooks.now = [this] { return core::BootTime(this->now + 1h); };
    hooks.trueTime = [this, &aHost] {
      return kEpoch + this->now + aHost.clockStep;
    };
    hooks.rank = [this, aIndex] {
      std::size_t rank = 0;
      for (std::size_t index = 0; index < aIndex; ++index) {
        rank += this->hosts[index]->isAlive ? 1 : 0;
      }
      return rank;
    };
    hooks.read = [this, &aHost, aLifetime](auto aDone) {
      this->CallStore(
        aHost, aLifetime, [this] { return this->ReadObject(); }, aDone);
    };
    hooks.write =
      [this, &aHost, aLifetime](auto aRevision, DutyState aState, auto aDone) {
        if (this->losesFigures) {
          if (!aState.pending.empty()) {
            aState.fixedThrough = aState.pending.begin()->first - 1;
          }
          aState.pending.clear();
        }
        if (this->losesFence) {
          aState.fence = 0;
        }
        this->CallStore(
          aHost,
          aLifetime,
          [this, aRevision, text = aState.ToText()] {
            return this->WriteObject(aRevision, text);
          },
          aDone);
      };
    hooks.send = [this, &aHost, aLifetime](
                   const UsageReport& aReport, auto aMayStart, auto aDone) {
      return this->CallPlatform(aHost, aLifetime, aReport, aMayStart, aDone);
    };
    hooks.collect = [this](WindowNumber, bool) -> std::optional<Figures> {
      // Each attempt finds other figures.
      return Figures{ { "a", this->random() % 1000 }, { "b", 1 } };
    };
    hooks.announce = [this](const LeaseNotice& aNotice) {
      LeaseNotice notice = aNotice;
      if (this->losesFence) {
        notice.fence = 0;
      }
      for (const auto& host : this->hosts) {
        if (this->Draw(10) > 0) {
          const unsigned lifetime = host->lifetime;
          this->At(milliseconds(this->Draw(50)), [=, this, &peer = *host] {
            this->InProcess(
              peer, lifetime, [=, &peer] { peer.duty->OnNotice(notice); });
          });
        }
      }
    };
    hooks.onReported = [this](const UsageReport& aReport, milliseconds) {
      this->acknowledged.insert(aReport.window);
    };
    hooks.onMissing =
      [this](WindowNumber aFirst, WindowNumber aLast, const std::string& aWhy) {
        for (WindowNumber window = aFirst; window <= aLast; ++window) {
          this->missing[window] = aWhy;
        }
      };
    hooks.onLeaseChange = [this](bool aIsHolder, const std::string&) {
      this->takeovers += aIsHolder ? 1 : 0;
    };
    return hooks;
  }

  void CallStore(Host& aHost,
                 unsigned aLifetime,
                 std::function<DutyAnswer()> aExecute,
                 ReportDutyHooks::AnswerFunction aDone)
  {
    const auto answer = [=, this, &aHost](milliseconds aDelay,
                                          const DutyAnswer& aAnswer) {
      this->At(aDelay, [=, this, &aHost] {
        this->InProcess(aHost, aLifetime, [=] { aDone(aAnswer); });
      });
    };
    const int fate = this->Draw(100);
    const bool isAway =
      this->now < this->storeDownUntil || this->now < aHost.refusedUntil;
    if (isAway || fate < 6) {
      if (this->Draw(2) == 0) {
        answer(5ms, { .status = fate % 2 == 0 ? 503 : 429, .era = this->era });
      } else {
        answer(kStoreTimeout, {});
      }
      return;
    }
    if (fate < 12) {
      // No answer; executed now or seconds later.
      this->At(fate < 9 ? 5ms : milliseconds(this->Draw(6000)),
               [aExecute] { aExecute(); });
      answer(kStoreTimeout, {});
      return;
    }
    this->At(milliseconds(1 + this->Draw(20)), [=, this] {
      answer(milliseconds(
               1 + this->Draw(this->now < this->storeSlowUntil ? 500 : 20)),
             aExecute());
    });
  }

  DutyAnswer ReadObject()
  {
    DutyAnswer answer{ .status = 404, .era = this->era };
    if (this->store.text) {
      answer.status = 200;
      answer.revision = this->store.objectRevision;
      answer.state = DutyState::Parse(*this->store.text);
    }
    return answer;
  }

  DutyAnswer WriteObject(std::optional<std::uint64_t> aRevision,
                         const std::string& aText)
  {
    if (aRevision && !this->store.text) {
      return this->ReadObject();
    }
    if (aRevision.has_value() != this->store.text.has_value() ||
        (aRevision && *aRevision != this->store.objectRevision)) {
      DutyAnswer conflict = this->ReadObject();
      conflict.status = 409;
      return conflict;
    }
    if (!aRevision) {
      this->creations.push_back(this->now);
    }
    // Few other changes, so that revisions meet again after a return.
    this->store.revision += static_cast<std::uint64_t>(1 + this->Draw(2));
    this->store.objectRevision = this->store.revision;
    this->store.text = aText;
    this->copies.emplace_back(this->now, this->store);
    return this->ReadObject();
  }

  void ReturnOlder()
  {
    const milliseconds from = this->now - milliseconds(this->Draw(6000));
    Copy older;
    older.revision = 5;
    for (const auto& [at, copy] : this->copies) {
      if (at <= from) {
        older = copy;
      }
    }
    this->store = older;
    this->copies.emplace_back(this->now, older);
    ++this->era;
    this->hasLostData = true;
  }

  ReportDutyHooks::CancelFunction CallPlatform(
    Host& aHost,
    unsigned aLifetime,
    const UsageReport& aReport,
    std::function<bool()> aMayStart,
    ReportDutyHooks::StatusFunction aDone)
  {
    const auto isEnded = std::make_shared<bool>(false);
    const auto end = [=, this, &aHost](std::optional<unsigned> aStatus) {
      this->InProcess(aHost, aLifetime, [=] {
        if (!*isEnded) {
          *isEnded = true;
          aDone(aStatus);
        }
      });
    };
    // The connection may take long.
    const milliseconds connect(this->Draw(10) == 0 ? this->Draw(2500)
                                                   : 1 + this->Draw(10));
    this->At(connect, [=, this, &aHost] {
      this->InProcess(aHost, aLifetime, [=, this, &aHost] {
        if (*isEnded || !aMayStart()) {
          end(std::nullopt);
          return;
        }
        if (this->Draw(30) == 0) {
          this->Freeze(aHost, milliseconds(this->Draw(8000)));
        }
        const bool isSlow = this->now < this->platformSlowUntil;
        this->InProcess(aHost, aLifetime, [=, this, &aHost] {
          const milliseconds delay(1 + this->Draw(isSlow ? 3000 : 30));
          this->At(delay, [=, this, &aHost] {
            // Bytes that have left arrive a little after a reset.
            if (!*isEnded || delay < 150ms) {
              this->Arrive(aHost, aReport, end);
            }
          });
        });
      });
    });
    this->At(connect + kCallTimeout, [=] { end(std::nullopt); });
    return [isEnded] { *isEnded = true; };
  }

  void Arrive(const Host& aHost,
              const UsageReport& aReport,
              const std::function<void(std::optional<unsigned>)>& aEnd)
  {
    const bool isExcused =
      this->now < aHost.thawedAt + kThawSlack && this->now >= aHost.thawedAt;
    this->CheckOrder({ this->now, aHost.name, aReport.fence, isExcused });
    const bool isAway = this->now < this->platformDownUntil;
    if (isAway || this->Draw(20) == 0) {
      aEnd(this->Draw(2) == 0 ? 503U : 429U);
      return;
    }
    const auto [entry, isFirst] =
      this->accepted.emplace(aReport.window, aReport.figures);
    if (entry->second != aReport.figures) {
      this->violations.push_back(fmt::format(
        "{}: two reports of window {}", this->now.count(), aReport.window));
    }
    if (this->Draw(20) > 0) {
      aEnd(200U);
    }
  }

  void CheckOrder(const Arrival& aArrival)
  {
    const auto fail = [&](std::string_view aWhat) {
      this->violations.push_back(fmt::format("{}: {} of {} fence {}",
                                             aArrival.at.count(),
                                             aWhat,
                                             aArrival.holder,
                                             aArrival.fence));
    };
    const auto [owner, isFirst] =
      this->fenceOwners.emplace(aArrival.fence, aArrival.holder);
    if (owner->second != aArrival.holder) {
      fail("the same number as another");
    }
    if (aArrival.isExcused) {
      return;
    }
    bool hasOther = false;
    for (auto call = this->calls.rbegin(); call != this->calls.rend(); ++call) {
      if (call->fence > aArrival.fence) {
        fail("lower number");
        break;
      }
      if (aArrival.at - call->at >= kLease) {
        break;
      }
      if (call->holder != aArrival.holder) {
        hasOther = true;
      } else if (hasOther) {
        fail("return within the lease");
        break;
      }
    }
    this->calls.push_back(aArrival);
  }

  void ScheduleFaults(milliseconds aEnd)
  {
    if (this->now + 10'000ms >= aEnd) {
      return;
    }
    this->MakeFault();
    this->At(milliseconds(500 + this->Draw(5000)),
             [this, aEnd] { this->ScheduleFaults(aEnd); });
  }

  void MakeFault()
  {
    const std::size_t index = this->PickHost();
    Host& host = *this->hosts[index];
    const milliseconds time(200 + this->Draw(7000));
    switch (this->Draw(10)) {
      case 0:
        this->Freeze(host, time);
        break;
      case 1:
        this->Kill(index);
        break;
      case 2:
        host.duty->BeginStop();
        this->At(2500ms, [this, index] { this->Kill(index); });
        break;
      case 3:
        this->storeDownUntil = this->now + time;
        break;
      case 4:
        this->storeSlowUntil = this->now + time;
        break;
      case 5:
        this->storeDownUntil = this->now + time / 4;
        this->At(time / 4, [this] { this->ReturnOlder(); });
        break;
      case 6:
        host.refusedUntil = this->now + time;
        break;
      case 7:
        this->platformDownUntil = this->now + time;
        break;
      case 8:
        this->platformSlowUntil = this->now + time;
        break;
      default:
        host.clockStep = milliseconds(this->Draw(4000) - 2000);
        this->At(time, [&host] { host.clockStep = 0ms; });
        break;
    }
  }

  /** Returns mostly the holder. */
  std::size_t PickHost()
  {
    for (std::size_t index = 0; index < this->hosts.size(); ++index) {
      if (this->hosts[index]->duty->IsHolder() && this->Draw(3) > 0) {
        return index;
      }
    }
    return static_cast<std::size_t>(
      this->Draw(static_cast<int>(this->hosts.size())));
  }

  void Kill(std::size_t aIndex)
  {
    Host& host = *this->hosts[aIndex];
    if (!host.isAlive) {
      return;
    }
    host.isAlive = false;
    this->At(milliseconds(300 + this->Draw(2000)),
             [this, aIndex] { this->StartHost(aIndex); });
  }

  std::mt19937_64 random;
  bool losesFigures;
  bool losesFence;
  milliseconds now{ 0 };
  std::multimap<milliseconds, std::function<void()>> events;
  std::vector<std::unique_ptr<Host>> hosts;
  Copy store{ std::nullopt, 0, 5 };
  std::uint64_t era = 1;
  std::vector<std::pair<milliseconds, Copy>> copies;
  std::vector<milliseconds> creations;
  milliseconds storeDownUntil{ 0 };
  milliseconds storeSlowUntil{ 0 };
  milliseconds platformDownUntil{ 0 };
  milliseconds platformSlowUntil{ 0 };
  std::vector<Arrival> calls;
  std::map<std::uint64_t, std::string> fenceOwners;
};

struct SearchResult
{
  std::vector<std::string> violations;
  std::size_t accepted = 0;
  std::size_t missing = 0;
  std::size_t missingWithoutLoss = 0;
  std::size_t open = 0;
  unsigned takeovers = 0;
};

SearchResult
Search(unsigned aSeeds, bool aLosesFigures, bool aLosesFence)
{
  SearchResult result;
  for (unsigned seed = 1; seed <= aSeeds; ++seed) {
    World world(seed, aLosesFigures, aLosesFence);
    world.Run(120s, true);
    world.Run(60s, false);
    for (const std::string& violation : world.violations) {
      result.violations.push_back(fmt::format("seed {}: {}", seed, violation));
    }
    result.accepted += world.accepted.size();
    result.missing += world.missing.size();
    result.missingWithoutLoss += world.hasLostData ? 0 : world.missing.size();
    const std::size_t open = world.OpenWindows();
    if (open > 0) {
      BOOST_TEST_MESSAGE("seed " << seed << ": " << open << " open windows");
    }
    result.open += open;
    result.takeovers += world.takeovers;
  }
  return result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ReportDutyTest)

// Freezes between check and send, two holders, lost answers, late writes, a
// store that is away, slow or returns older, clock steps and planned stops.
BOOST_AUTO_TEST_CASE(KeepsTheRulesInAnyOrder)
{
  const SearchResult result = Search(400, false, false);
  for (const std::string& violation : result.violations) {
    BOOST_ERROR(violation);
  }
  BOOST_TEST(result.open == 0U);
  BOOST_TEST(result.missingWithoutLoss == 0U);
  BOOST_TEST_MESSAGE("accepted " << result.accepted << ", given up "
                                 << result.missing << ", takeovers "
                                 << result.takeovers);
  BOOST_TEST(result.accepted > 0U);
}

// The search finds what the fixed figures and the fence prevent.
BOOST_AUTO_TEST_CASE(FailsWithoutFixedFiguresOrFence)
{
  BOOST_TEST(!Search(20, true, false).violations.empty());
  BOOST_TEST(!Search(20, false, true).violations.empty());
}

BOOST_AUTO_TEST_CASE(StateRoundTripsAsText)
{
  const DutyState state{
    "entry-1", 7, 1ULL << 50U, 9, 2, true, 12, { { 11, { { "a", 3 } } } },
    { 10 }
  };
  BOOST_TEST((DutyState::Parse(state.ToText()) == state));
  BOOST_TEST(!DutyState::Parse("{}").has_value());
  BOOST_TEST(!DutyState::Parse("[").has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace fireflytrail::usage
