#include "store/ObjectWatcher.h"

#include "store/ObjectReplica.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <deque>
#include <sstream>
#include <utility>

using namespace fireflytrail;
using namespace fireflytrail::store;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

/**
 * A watcher of two kinds; the test answers its requests and runs its timers.
 */
struct Fixture
{
  explicit Fixture(milliseconds aListDelay = 0ms)
    : listDelay(aListDelay)
  {
  }

  struct Call
  {
    StoreRequest request;
    std::function<void(StoreResponse)> done;
  };

  milliseconds listDelay;
  core::TimePoint time{ 1h };
  std::deque<Call> calls;
  std::deque<std::pair<milliseconds, std::function<void()>>> timers;
  std::vector<std::string> events;
  std::vector<std::string> confirmed;
  /** What the store states in its answers; 0 if nothing. */
  std::uint64_t era = 0;
  /** Has what is reported. */
  ObjectReplica replica;
  ObjectWatcher watcher{
    { { "k", 1500ms, this->listDelay }, { "l", 3000ms } },
    { .listTarget =
        [](std::string_view aKind, std::string_view aAfter, bool aAllowStale) {
          return fmt::format(
            "{} {} {}", aAllowStale ? "list" : "new list", aKind, aAfter);
        },
      .watchTarget =
        [](std::string_view aKind,
           std::uint64_t aRevision,
           milliseconds aWait) {
          return fmt::format("watch {} {} {}", aKind, aRevision, aWait.count());
        },
      .pingTarget =
        [](std::string_view aKind) { return fmt::format("ping {}", aKind); },
      .statusTarget = [](std::string_view, std::string_view) { return ""; },
      .readList = Read,
      .readChanges = Read },
    { .now = [this] { return this->time; },
      .random = [] { return 0; },
      .send =
        [this](const StoreRequest& aRequest,
               std::function<void(StoreResponse)> aDone) {
          this->calls.push_back({ aRequest, std::move(aDone) });
        },
      .after =
        [this](milliseconds aTime, std::function<void()> aFunction) {
          this->timers.emplace_back(aTime, std::move(aFunction));
        },
      .onList =
        [this](const std::string& aKind,
               std::uint64_t aRevision,
               std::vector<ObjectRecord> aObjects) {
          this->events.push_back(
            fmt::format("list {} {}", aKind, aObjects.size()));
          this->replica.ReplaceAll(aKind, aRevision, std::move(aObjects));
        },
      .onPartialList =
        [this](const std::string& aKind,
               std::uint64_t,
               std::vector<ObjectRecord> aObjects,
               const std::string& aAfter) {
          this->events.push_back(
            fmt::format("part {} {} {}", aKind, aObjects.size(), aAfter));
        },
      .onChanges =
        [this](const std::string& aKind, std::vector<ObjectRecord> aObjects) {
          this->events.push_back(
            fmt::format("change {} {}", aKind, aObjects.size()));
          this->replica.Apply(
            aKind, this->replica.CompleteRevision(aKind), std::move(aObjects));
        },
      .onConfirmed =
        [this](const std::string& aKind, std::uint64_t) {
          this->confirmed.push_back(aKind);
        },
      .onRequestEnded = [](const StoreRequest&, const StoreResponse&) {},
      .onRefused =
        [this](const std::string& aKind,
               const StoreRequest& aRequest,
               unsigned aStatus) {
          this->events.push_back(
            fmt::format("refused {} {} ({})", aKind, aStatus, aRequest.target));
        },
      .onAvailabilityChange =
        [this](bool aIsUnavailable, const std::string&) {
          this->events.push_back(aIsUnavailable ? "lost" : "regained");
        } }
  };

  /** Parses a body "REVISION HAS_MORE NAME NAME ..."; "?" is invalid. Objects
   * have revision 1, or the page's if their name starts with a plus sign. */
  static core::Result<ObjectPage> Read(std::string_view aKind,
                                       std::string_view aBody)
  {
    if (aBody == "?") {
      return core::Error{ core::ErrorKind::Internal, "unreadable" };
    }
    ObjectPage page;
    std::istringstream words{ std::string(aBody) };
    words >> page.revision >> page.hasMore;
    for (std::string name; words >> name;) {
      const bool isNew = name.starts_with('+');
      page.objects.push_back(
        { std::string(aKind), name, isNew ? page.revision : 1, false, {} });
    }
    return page;
  }

  /** Answers the oldest request and returns its target. */
  std::string Answer(unsigned aStatus, const std::string& aBody = "")
  {
    BOOST_REQUIRE(!this->calls.empty());
    Call call = std::move(this->calls.front());
    this->calls.pop_front();
    call.done({ StoreDelivery::Answered, aStatus, 0, aBody, "", this->era });
    return call.request.target;
  }

  /** Answers the oldest request to a target; returns whether there was one. */
  bool AnswerTo(const std::string& aTarget,
                unsigned aStatus,
                const std::string& aBody = "")
  {
    const auto found =
      std::ranges::find(this->calls, aTarget, [](const Call& aCall) {
        return aCall.request.target;
      });
    if (found == this->calls.end()) {
      return false;
    }
    std::rotate(this->calls.begin(), found, found + 1);
    this->Answer(aStatus, aBody);
    return true;
  }

  bool HasCall(const std::string& aTarget) const
  {
    return std::ranges::any_of(this->calls, [&](const Call& aCall) {
      return aCall.request.target == aTarget;
    });
  }

  /** Returns a known object of the kind k. */
  ObjectRecord Known(const std::string& aName) const
  {
    const auto objects = this->replica.Objects("k");
    const auto found = std::ranges::find(objects, aName, &ObjectRecord::name);
    return found == objects.end() ? ObjectRecord{} : *found;
  }

  /** Advances the clock, then fails the oldest request as lost and returns its
   * target. */
  std::string FailAsLost(milliseconds aAfter = 0ms)
  {
    this->time += aAfter;
    BOOST_REQUIRE(!this->calls.empty());
    Call call = std::move(this->calls.front());
    this->calls.pop_front();
    call.done({ StoreDelivery::Lost, 0, 0, "", "no answer in time" });
    return call.request.target;
  }

  /** Runs the oldest timer and returns its delay. */
  milliseconds RunTimer()
  {
    BOOST_REQUIRE(!this->timers.empty());
    const auto [time, function] = std::move(this->timers.front());
    this->timers.pop_front();
    function();
    return time;
  }

  /** Runs the newest timer, which is that of a request that was refused, and
   * returns its delay. */
  milliseconds RunRetryTimer()
  {
    BOOST_REQUIRE(!this->timers.empty());
    const auto [time, function] = std::move(this->timers.back());
    this->timers.pop_back();
    this->time += time;
    function();
    return time;
  }

  void ListBoth()
  {
    this->watcher.Start();
    this->Answer(200, "10 0 a");
    this->Answer(200, "11 0");
  }

  /** Answers the lists and the short watches that follow them. */
  void ListAndConfirmBoth()
  {
    this->ListBoth();
    BOOST_TEST(this->Answer(200, "10 0") == "watch k 10 50");
    BOOST_TEST(this->Answer(200, "11 0") == "watch l 11 50");
    this->events.clear();
  }
};

} // namespace

// Guards against listing only the first page, and against missing changes
// between the list and the watch.
BOOST_FIXTURE_TEST_CASE(ListsAllPagesThenWatchesFromLowestRevision, Fixture)
{
  this->watcher.Start();
  BOOST_TEST(this->Answer(200, "10 1 a b") == "list k ");
  BOOST_TEST(this->Answer(200, "11 0") == "list l ");
  BOOST_TEST(this->Answer(200, "12 0 c") == "list k b");
  BOOST_TEST(this->events ==
               std::vector<std::string>({ "list l 0", "list k 3" }),
             boost::test_tools::per_element());
  BOOST_TEST(this->calls.at(0).request.target == "watch l 11 50");
  // A change between the two pages may be in neither of them.
  BOOST_TEST(this->calls.at(1).request.target == "watch k 10 50");
}

// Guards against waiting long for a watch that has gone silent without a
// connection reset: its timeout must be little longer than its wait.
BOOST_FIXTURE_TEST_CASE(SilentWatchTimesOut, Fixture)
{
  this->ListAndConfirmBoth();
  BOOST_TEST(this->calls.at(0).request.timeout.count() <= 2000);
}

// Guards against a change that no host has read when all that watch the store
// are lost a moment later, because each waits after the change before it.
BOOST_FIXTURE_TEST_CASE(ChangeThatFollowsAnotherIsReadAtOnce, Fixture)
{
  this->ListAndConfirmBoth();
  this->timers.clear();
  BOOST_TEST(this->Answer(200, "12 0 +b") == "watch k 10 1500");
  BOOST_TEST(this->HasCall("watch k 12 1500"));
  // The third of a series is collected with those that follow.
  this->time += 40ms;
  BOOST_TEST(this->AnswerTo("watch k 12 1500", 200, "13 0 +c"));
  BOOST_TEST(!this->HasCall("watch k 13 1500"));
  BOOST_TEST(this->RunTimer().count() <= 300);
  BOOST_TEST(this->HasCall("watch k 13 1500"));
}

// Guards against calls to the store by hosts that only stand by: each change in
// a series would be read three times.
BOOST_FIXTURE_TEST_CASE(BackupCollectsChangesForLonger, Fixture)
{
  this->ListAndConfirmBoth();
  this->timers.clear();
  this->watcher.SetBackup(true);
  BOOST_TEST(this->Answer(200, "12 0 +b") == "watch k 10 1500");
  BOOST_TEST(!this->HasCall("watch k 12 1500"));
  // Another host passes on what follows meanwhile.
  this->watcher.NoteRevision("k", 14);
  BOOST_TEST(this->RunTimer().count() == 500);
  BOOST_TEST(this->HasCall("watch k 14 1500"));
}

// Guards against objects that stay known for ever: a host that watches from a
// revision which others have told it never learns what was deleted before, if
// its own list was older.
BOOST_FIXTURE_TEST_CASE(KindThatOthersContinuedIsListedBeforeItIsWatched,
                        Fixture)
{
  this->watcher.SetActive(false);
  this->ListBoth();
  this->watcher.NoteRevision("k", 20);
  this->watcher.NoteRevision("l", 20);
  this->watcher.NoteComplete("l");
  this->watcher.SetActive(true);
  BOOST_TEST(this->HasCall("new list k "));
  BOOST_TEST(this->HasCall("watch l 20 50"));
  BOOST_TEST(this->AnswerTo("new list k ", 200, "21 0 a"));
  BOOST_TEST(this->HasCall("watch k 21 1500"));

  this->watcher.Doubt("l");
  BOOST_TEST(this->HasCall("new list l "));
  this->confirmed.clear();
  BOOST_TEST(this->AnswerTo("watch l 20 50", 200, "20 0"));
  BOOST_TEST(this->confirmed.empty());
}

// Guards against a watch that cannot continue because the store has dropped the
// history of changes: the kind must be listed again.
BOOST_FIXTURE_TEST_CASE(KindIsListedAgainIfHistoryIsGone, Fixture)
{
  this->ListAndConfirmBoth();
  BOOST_TEST(this->Answer(410) == "watch k 10 1500");
  // A stale list may be older than the changes that the store still has.
  BOOST_TEST(this->calls.back().request.target == "new list k ");
}

// Guards against requests for every kind while the store is unavailable, since
// refused requests are charged, and against detecting its recovery late.
BOOST_FIXTURE_TEST_CASE(OnlyPingsAreSentWhileStoreIsUnavailable, Fixture)
{
  this->ListAndConfirmBoth();
  this->events.clear();
  this->Answer(503);
  this->Answer(503);
  BOOST_TEST(this->calls.empty());
  milliseconds lastDelay{ 0 };
  for (int attempt = 0; attempt < 8; ++attempt) {
    lastDelay = this->RunTimer();
    BOOST_REQUIRE(this->calls.size() == 1U);
    BOOST_TEST(this->FailAsLost() == "ping l");
  }
  BOOST_TEST(this->timers.size() == 1U);
  BOOST_TEST(lastDelay.count() <= 1000);
  this->RunTimer();
  BOOST_TEST(this->Answer(200, "") == "ping l");
  BOOST_TEST(this->events == std::vector<std::string>({ "lost", "regained" }),
             boost::test_tools::per_element());
  // Both kinds are watched from their last known revision.
  std::vector<std::string> targets;
  for (const Call& call : this->calls) {
    targets.push_back(call.request.target);
  }
  std::ranges::sort(targets);
  BOOST_TEST(targets == std::vector<std::string>(
                          { "watch k 10 1500", "watch l 11 3000" }),
             boost::test_tools::per_element());
}

// Guards against a watching host that detects a silent store too late, while
// other hosts rely on it (seen in kowhai-trail trouble-1, seed 192331379365).
BOOST_FIXTURE_TEST_CASE(SilentStoreIsDetectedWithinASecond, Fixture)
{
  this->ListAndConfirmBoth();
  this->events.clear();
  BOOST_REQUIRE(this->timers.size() == 1U);
  const milliseconds interval = this->RunTimer();
  const StoreRequest& ping = this->calls.back().request;
  BOOST_TEST(ping.target == "ping l");
  BOOST_TEST((interval + ping.timeout).count() <= 1000);
  Call call = std::move(this->calls.back());
  this->calls.pop_back();
  call.done({ StoreDelivery::Lost, 0, 0, "", "no answer in time" });
  BOOST_TEST(this->events.front() == "lost");
}

// Guards against treating an answer that cannot be parsed as an empty one.
BOOST_FIXTURE_TEST_CASE(InvalidAnswerIsAFailure, Fixture)
{
  this->watcher.Start();
  this->Answer(200, "?");
  BOOST_TEST(this->events.front() == "lost");
  BOOST_TEST(this->watcher.IsStoreUnavailable());
}

// Guards against watches by a daemon that receives the changes from other
// daemons.
BOOST_FIXTURE_TEST_CASE(InactiveWatcherOnlyLists, Fixture)
{
  this->watcher.SetActive(false);
  this->ListBoth();
  BOOST_TEST(this->calls.empty());
  this->watcher.NoteRevision("k", 20);
  this->watcher.NoteComplete("k");
  this->watcher.SetActive(true);
  BOOST_REQUIRE(this->calls.size() == 2U);
  BOOST_TEST(this->calls.at(0).request.target == "watch k 20 50");
}

// Guards against a host that takes a stale list, or the state of another
// daemon, for current while the store has dropped the history that would show
// otherwise, which it reports only at the end of a wait (seen in
// vkr-ledger-gw-grown scale-1).
BOOST_FIXTURE_TEST_CASE(StaleListIsConfirmedByAShortWatch, Fixture)
{
  this->ListBoth();
  BOOST_TEST(this->confirmed.empty());
  BOOST_TEST(this->Answer(410) == "watch k 10 50");
  BOOST_TEST(this->Answer(200, "11 0") == "watch l 11 50");
  BOOST_TEST(this->confirmed == std::vector<std::string>({ "l" }),
             boost::test_tools::per_element());
  BOOST_TEST(this->Answer(200, "16 0 a b") == "new list k ");
  BOOST_TEST(this->confirmed.back() == "k");
  // A fresh list needs no confirmation.
  BOOST_TEST(this->calls.back().request.target == "watch k 16 1500");
  this->watcher.SetActive(false);
  this->Answer(200, "11 0");
  this->Answer(200, "16 0");
  this->watcher.SetActive(true);
  BOOST_TEST(this->calls.at(0).request.target == "watch k 16 50");
}

// Guards against waiting for the full time again after a watch lost its
// connection: the store may have dropped its history, which it reports only at
// the end of the wait. A failure domain stayed in use for 5 s because of that
// (seen in icheon-lampgas-grown scale-1).
BOOST_FIXTURE_TEST_CASE(InterruptedWatchIsFollowedByAShortOne, Fixture)
{
  this->ListAndConfirmBoth();
  this->events.clear();
  BOOST_TEST(this->FailAsLost(700ms) == "watch k 10 1500");
  BOOST_TEST(!this->watcher.IsStoreUnavailable());
  BOOST_TEST(this->calls.back().request.target == "watch k 10 50");
  this->Answer(200, "11 0");
  BOOST_TEST(this->Answer(410) == "watch k 10 50");
  BOOST_TEST(this->calls.back().request.target == "new list k ");
}

// Guards against treating an unavailable store, which resets each watch at
// once, as an interrupted watch.
BOOST_FIXTURE_TEST_CASE(StoreThatResetsWatchesIsUnavailable, Fixture)
{
  this->ListAndConfirmBoth();
  this->FailAsLost(700ms);
  this->calls.pop_front();
  this->FailAsLost(10ms);
  BOOST_TEST(this->watcher.IsStoreUnavailable());
}

// Guards against a failure domain that stays in use because the watch that
// should report the change has gone silent.
BOOST_FIXTURE_TEST_CASE(PingReportsNewObjects, Fixture)
{
  this->ListAndConfirmBoth();
  this->events.clear();
  this->RunTimer();
  BOOST_REQUIRE(this->calls.back().request.target == "ping l");
  Call call = std::move(this->calls.back());
  this->calls.pop_back();
  call.done({ StoreDelivery::Answered, 200, 0, "13 0 old +new", "" });
  BOOST_TEST(this->events == std::vector<std::string>({ "change l 1" }),
             boost::test_tools::per_element());
}

// Guards against treating an answer to a ping that cannot be parsed as a sign
// that the store is available.
BOOST_FIXTURE_TEST_CASE(InvalidPingAnswerIsAFailure, Fixture)
{
  this->ListAndConfirmBoth();
  this->events.clear();
  this->RunTimer();
  Call call = std::move(this->calls.back());
  this->calls.pop_back();
  call.done({ StoreDelivery::Answered, 200, 0, "?", "" });
  BOOST_TEST(this->events == std::vector<std::string>({ "lost" }),
             boost::test_tools::per_element());
}

// Guards against hundreds of hosts that each read all pages of a long list when
// they start together, and against a host that never gets the list if no other
// daemon delivers it.
BOOST_AUTO_TEST_CASE(InactiveWatcherLeavesALongListToOthers)
{
  Fixture delivered(4000ms);
  delivered.watcher.SetActive(false);
  delivered.watcher.Start();
  BOOST_REQUIRE(delivered.calls.size() == 1U);
  BOOST_TEST(delivered.Answer(200, "5 0 a") == "list l ");
  delivered.watcher.NoteRevision("k", 7);
  delivered.time += 4s;
  for (const auto& [delay, function] : std::exchange(delivered.timers, {})) {
    function();
  }
  BOOST_TEST(delivered.calls.empty());

  Fixture alone(4000ms);
  alone.watcher.SetActive(false);
  alone.watcher.Start();
  alone.Answer(200, "5 0 a");
  alone.time += 4s;
  for (const auto& [delay, function] : std::exchange(alone.timers, {})) {
    function();
  }
  BOOST_TEST(std::ranges::any_of(alone.calls, [](const Fixture::Call& aCall) {
    return aCall.request.target == "list k ";
  }));
}

// Guards against a store that begins the list again for each page: requests
// never ended, the objects that were read were never used, and the rest was
// not looked for when the store returned it.
BOOST_FIXTURE_TEST_CASE(PartialListIsUsedAndReadAgainLater, Fixture)
{
  this->watcher.Start();
  BOOST_TEST(this->Answer(200, "10 1 a b") == "list k ");
  this->Answer(200, "11 0");
  this->calls.pop_back();
  std::size_t requests = 0;
  while (this->calls.front().request.target.starts_with("list k ") &&
         requests < 100) {
    this->Answer(200, "10 1 a b");
    ++requests;
  }
  BOOST_TEST(requests <= 10U);
  BOOST_TEST(this->events ==
               std::vector<std::string>({ "list l 0", "part k 2 b" }),
             boost::test_tools::per_element());
  BOOST_TEST(!this->watcher.IsStoreUnavailable());
  // The kind is watched like one whose list is complete.
  BOOST_TEST(this->Answer(200, "12 0") == "watch k 10 50");
  this->time += 5s;
  BOOST_TEST(this->Answer(200, "13 0") == "watch k 12 1500");
  BOOST_TEST(this->Answer(200, "14 0 a b c") == "new list k ");
  BOOST_TEST(this->events.back() == "list k 3");
  BOOST_TEST(this->calls.back().request.target == "watch k 14 1500");
}

// Guards against taking a store that refuses one request for one that is away:
// the other kinds lost it several times a second.
BOOST_FIXTURE_TEST_CASE(RefusedListIsNoOutage, Fixture)
{
  this->watcher.Start();
  BOOST_TEST(this->Answer(400) == "list k ");
  BOOST_TEST(this->Answer(200, "11 0") == "list l ");
  BOOST_TEST(!this->watcher.IsStoreUnavailable());
  BOOST_TEST(this->events == std::vector<std::string>(
                               { "refused k 400 (list k )", "list l 0" }),
             boost::test_tools::per_element());
  BOOST_TEST(this->calls.size() == 1U);
  BOOST_TEST(this->calls.front().request.target == "watch l 11 50");
  // The other kind's requests do not send the refused one again.
  this->Answer(200, "12 0");
  BOOST_TEST(this->calls.size() == 1U);
  // The backoff grows to a second and no further.
  milliseconds delay{ 0 };
  for (int attempt = 0; attempt < 12; ++attempt) {
    delay = this->RunRetryTimer();
    BOOST_REQUIRE(this->calls.size() == 2U);
    std::swap(this->calls.front(), this->calls.back());
    BOOST_TEST(this->Answer(404) == "list k ");
  }
  BOOST_TEST(delay.count() >= 500);
  BOOST_TEST(delay.count() <= 1000);
  BOOST_TEST(!this->watcher.IsStoreUnavailable());
  this->RunRetryTimer();
  std::swap(this->calls.front(), this->calls.back());
  this->Answer(200, "13 0 a");
  BOOST_TEST(this->events.back() == "list k 1");
}

// Guards against a log that fills with the same refusal.
BOOST_FIXTURE_TEST_CASE(RepeatedRefusalsAreReportedLessAndLess, Fixture)
{
  this->watcher.Start();
  this->Answer(400);
  this->Answer(200, "11 0");
  for (int attempt = 1; attempt < 64; ++attempt) {
    this->RunRetryTimer();
    std::swap(this->calls.front(), this->calls.back());
    this->Answer(400);
  }
  // The first, second, fourth and so on.
  BOOST_TEST(std::ranges::count(this->events, "refused k 400 (list k )") == 7);
}

// Guards against giving up a list because the store refuses a page after one
// name, for example that of an object that was removed meanwhile.
BOOST_FIXTURE_TEST_CASE(RefusedPageIsReadFromAnEarlierName, Fixture)
{
  this->watcher.Start();
  this->Answer(200, "10 1 a b");
  this->Answer(200, "11 0");
  BOOST_TEST(this->Answer(400) == "list k b");
  BOOST_TEST(this->calls.back().request.target == "list k a");
  this->calls.pop_front();
  this->Answer(200, "12 0 b c");
  BOOST_TEST(this->events.back() == "list k 3");
  BOOST_TEST(!this->watcher.IsStoreUnavailable());
}

// Guards against a kind that is no longer followed because the store refuses
// its watch: it is listed instead.
BOOST_FIXTURE_TEST_CASE(RefusedWatchIsReplacedByLists, Fixture)
{
  this->ListAndConfirmBoth();
  this->events.clear();
  BOOST_TEST(this->Answer(400) == "watch k 10 1500");
  BOOST_TEST(!this->watcher.IsStoreUnavailable());
  const milliseconds firstDelay = this->RunRetryTimer();
  std::swap(this->calls.front(), this->calls.back());
  BOOST_TEST(this->Answer(200, "20 0 a b") == "new list k ");
  BOOST_TEST(this->events.back() == "list k 2");
  std::swap(this->calls.front(), this->calls.back());
  BOOST_TEST(this->Answer(400) == "watch k 20 1500");
  // The backoff goes on: the list does not show that the watch is accepted.
  BOOST_TEST(this->calls.size() == 1U);
  BOOST_TEST(this->RunRetryTimer().count() > firstDelay.count());
}

// Guards against taking the whole store for lost because it refuses the request
// that tests it.
BOOST_FIXTURE_TEST_CASE(RefusedPingIsAnAnswer, Fixture)
{
  this->ListAndConfirmBoth();
  this->events.clear();
  this->RunTimer();
  Call call = std::move(this->calls.back());
  this->calls.pop_back();
  call.done({ StoreDelivery::Answered, 404, 0, "", "" });
  BOOST_TEST(!this->watcher.IsStoreUnavailable());
  BOOST_TEST(this->events ==
               std::vector<std::string>({ "refused l 404 (ping l)" }),
             boost::test_tools::per_element());
  BOOST_TEST(this->timers.size() == 1U);
}

// Guards against a daemon that does not watch and keeps a partial list, and
// against many daemons that read such a list often.
BOOST_FIXTURE_TEST_CASE(PartialListIsReadAgainByAnInactiveWatcher, Fixture)
{
  this->watcher.SetActive(false);
  this->watcher.Start();
  BOOST_TEST(this->Answer(200, "10 1") == "list k ");
  this->Answer(200, "11 0");
  BOOST_TEST(this->events.front() == "part k 0 ");
  BOOST_TEST(this->calls.empty());
  BOOST_TEST(this->RunRetryTimer().count() == 5000);
  milliseconds delay{ 0 };
  for (int attempt = 0; attempt < 6; ++attempt) {
    BOOST_REQUIRE(this->calls.size() == 1U);
    BOOST_TEST(this->Answer(200, "12 1") == "new list k ");
    delay = this->RunRetryTimer();
  }
  BOOST_TEST(delay.count() == 60'000);
  this->Answer(200, "13 0 a");
  BOOST_TEST(this->events.back() == "list k 1");
  BOOST_TEST(this->calls.empty());
}

// Guards against a change that is ignored after the store came back from an
// older copy, because its revision is lower than one from before (review/10).
BOOST_FIXTURE_TEST_CASE(ChangesAfterTheReturnOfAnOlderCopyAreTaken, Fixture)
{
  this->era = 1;
  this->watcher.Start();
  this->Answer(200, "30 0 +a +gone");
  this->Answer(200, "30 0");
  this->Answer(200, "30 0");
  this->Answer(200, "30 0");
  BOOST_TEST(!this->Known("+gone").name.empty());
  // The store is at revision 12 again, and has no watch from 30.
  this->era = 2;
  BOOST_TEST(this->AnswerTo("watch k 30 1500", 410));
  BOOST_TEST(this->AnswerTo("watch k 30 1500", 410));
  BOOST_TEST(this->AnswerTo("new list k ", 200, "12 0 +a"));
  BOOST_TEST(this->Known("+gone").name.empty());
  BOOST_TEST(this->AnswerTo("watch k 12 1500", 200, "14 0 +b"));
  BOOST_TEST(this->Known("+b").name == "+b");
}

// Guards against a watch that waits on at the copy for a revision which the
// store does not have: all kinds are read again as soon as one shows the
// return.
BOOST_FIXTURE_TEST_CASE(AReturnSeenByAPingLeadsToAListOfEachKind, Fixture)
{
  this->era = 1;
  this->ListAndConfirmBoth();
  this->era = 2;
  this->RunTimer();
  BOOST_TEST(this->AnswerTo("ping l", 200, "8 0"));
  this->RunTimer();
  BOOST_TEST(!this->HasCall("new list k "));
  BOOST_TEST(this->AnswerTo("ping l", 200, "8 0"));
  BOOST_TEST(this->HasCall("new list k "));
  BOOST_TEST(this->HasCall("new list l "));
  // The watches that were waiting are not used, whatever they return.
  this->era = 1;
  BOOST_TEST(this->AnswerTo("watch k 10 1500", 200, "40 0 +late"));
  BOOST_TEST(this->Known("+late").name.empty());
  BOOST_TEST(!this->watcher.IsStoreUnavailable());
  this->era = 2;
  BOOST_TEST(this->AnswerTo("new list k ", 200, "8 0 +a"));
  BOOST_TEST(this->HasCall("watch k 8 1500"));
}

// Guards against pages of one list that are read before and after the return of
// the store.
BOOST_FIXTURE_TEST_CASE(AListThatCrossesTheReturnIsReadFromTheStart, Fixture)
{
  this->era = 1;
  this->watcher.Start();
  BOOST_TEST(this->Answer(200, "30 1 old") == "list k ");
  this->era = 2;
  BOOST_TEST(this->AnswerTo("list k old", 200, "12 0 b"));
  BOOST_TEST(this->AnswerTo("list k old", 200, "12 0 b"));
  BOOST_TEST(this->AnswerTo("new list k ", 200, "12 0 b"));
  BOOST_TEST(this->Known("old").name.empty());
  BOOST_TEST(this->Known("b").name == "b");
}

// Guards against requests without pause to a store whose era goes back, and
// against the use of what it says.
BOOST_FIXTURE_TEST_CASE(AStoreOfALowerEraCountsAsUnavailable, Fixture)
{
  this->era = 2;
  this->ListAndConfirmBoth();
  this->era = 1;
  BOOST_TEST(this->AnswerTo("watch k 10 1500", 200, "40 0 +late"));
  BOOST_TEST(this->watcher.IsStoreUnavailable());
  BOOST_TEST(this->Known("+late").name.empty());
  BOOST_TEST(!this->HasCall("watch k 10 1500"));
  this->era = 2;
  while (!this->HasCall("ping l")) {
    this->RunTimer();
  }
  this->AnswerTo("ping l", 200, "11 0");
  BOOST_TEST(!this->watcher.IsStoreUnavailable());
}

// Guards against a store that counts as lost because a replica, which answers
// the pings, has not heard of its return yet.
BOOST_FIXTURE_TEST_CASE(AStaleAnswerToAPingIsContact, Fixture)
{
  this->era = 2;
  this->ListAndConfirmBoth();
  this->time += 5s;
  this->RunTimer();
  this->era = 1;
  BOOST_TEST(this->AnswerTo("ping l", 200, "40 0 +late"));
  BOOST_TEST(!this->watcher.IsStoreUnavailable());
  BOOST_TEST((this->watcher.LastAnswerTime() == this->time));
  BOOST_TEST(this->events.empty());
  this->RunTimer();
  BOOST_TEST(this->HasCall("ping l"));
}

// Guards against a daemon that watches from a revision of an earlier era,
// although another daemon has told it of the return of the store.
BOOST_FIXTURE_TEST_CASE(AnEraOfAnotherDaemonIsBelieved, Fixture)
{
  this->era = 1;
  this->ListAndConfirmBoth();
  constexpr std::uint64_t kSecondEra = std::uint64_t{ 2 } << 52U;
  this->watcher.NoteRevision("k", kSecondEra + 8);
  BOOST_TEST(this->watcher.Era() == 2U);
  BOOST_TEST(this->HasCall("watch k 8 1500"));
  BOOST_TEST(this->HasCall("new list l "));
}
