#include "store/StoreClient.h"

#include "store/WriterTag.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

using namespace fireflytrail;
using namespace fireflytrail::store;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/** Virtual clock with timers, and a simulated platform whose answers a test can
 * replace. */
class Fixture
{
public:
  using Done = std::function<void(StoreResponse)>;
  /** Returns true if it handled the request; otherwise the platform does. */
  using Interceptor = std::function<bool(const StoreRequest&, const Done&)>;

  StoreHooks Hooks(std::uint64_t aSeed = 1)
  {
    return { .now = [this]() { return this->now; },
             .random = std::mt19937_64(aSeed),
             .schedule =
               [this](milliseconds aDelay, std::function<void()> aFunction) {
                 this->timers.emplace(this->now + aDelay, std::move(aFunction));
               },
             .send =
               [this](const StoreRequest& aRequest, const Done& aDone) {
                 this->requests.emplace_back(this->now, aRequest);
                 if (!this->intercept || !this->intercept(aRequest, aDone)) {
                   this->After(milliseconds(1), [this, aRequest, aDone]() {
                     aDone(this->Serve(aRequest));
                   });
                 }
               } };
  }

  void After(milliseconds aDelay, std::function<void()> aFunction)
  {
    this->timers.emplace(this->now + aDelay, std::move(aFunction));
  }

  /** Advances the clock by `aTime` and runs the timers due until then. */
  void Run(milliseconds aTime)
  {
    const auto end = this->now + aTime;
    while (!this->timers.empty() && this->timers.begin()->first <= end) {
      auto timer = this->timers.extract(this->timers.begin());
      this->now = timer.key();
      timer.mapped()();
    }
    this->now = end;
  }

  /** Returns the platform's answer to a request that arrives now. */
  StoreResponse Serve(const StoreRequest& aRequest)
  {
    StoreResponse response;
    response.delivery = StoreDelivery::Answered;
    response.status = 200;
    if (aRequest.kind == StoreRequestKind::Write) {
      if (aRequest.version != this->version) {
        response.status = 409;
      } else {
        this->body = aRequest.body;
        ++this->version;
      }
    } else if (this->version == 0) {
      response.status = 404;
    } else {
      response.body = this->body;
    }
    response.version = this->version;
    return response;
  }

  void WriteByOther(std::string aBody)
  {
    this->body = WriterTag(0xffff).AddTo(aBody);
    ++this->version;
  }

  std::size_t Count(StoreRequestKind aKind) const
  {
    return std::ranges::count_if(this->requests, [&](const auto& aItem) {
      return aItem.second.kind == aKind;
    });
  }

  static StoreResponse Status(unsigned aStatus)
  {
    StoreResponse response;
    response.delivery = StoreDelivery::Answered;
    response.status = aStatus;
    return response;
  }

  static StoreResponse Lost()
  {
    StoreResponse response;
    response.delivery = StoreDelivery::Lost;
    return response;
  }

  core::TimePoint now{ seconds(1000) };
  std::multimap<core::TimePoint, std::function<void()>> timers;
  std::vector<std::pair<core::TimePoint, StoreRequest>> requests;
  Interceptor intercept;
  std::string body;
  std::uint64_t version = 0;
};

/** Stores the result of an operation; the test fails if it completes twice. */
class Completion
{
public:
  std::function<void(StoreResult)> Function()
  {
    return [this](StoreResult aResult) {
      BOOST_TEST(!this->result.has_value());
      this->result = std::move(aResult);
    };
  }

  std::optional<StoreResult> result;
};

void
CheckResult(const Completion& aCompletion,
            StoreStatus aStatus,
            std::uint64_t aVersion)
{
  BOOST_REQUIRE(aCompletion.result.has_value());
  BOOST_TEST(NameOf(aCompletion.result->status) == NameOf(aStatus));
  BOOST_TEST(aCompletion.result->object.version == aVersion);
}

/** Drops the first `aCount` writes: only their answers if `aTakeEffect`,
 * otherwise the whole requests. */
Fixture::Interceptor
LoseWrites(Fixture& aFixture, int aCount, bool aTakeEffect)
{
  return [&aFixture, aCount, aTakeEffect](const StoreRequest& aRequest,
                                          const Fixture::Done& aDone) mutable {
    if (aRequest.kind != StoreRequestKind::Write || aCount-- <= 0) {
      return false;
    }
    if (aTakeEffect) {
      aFixture.Serve(aRequest);
    }
    aFixture.After(milliseconds(1), [aDone]() { aDone(Fixture::Lost()); });
    return true;
  };
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(StoreClientTest, Fixture)

// Guards against reporting a write as failed, or writing twice, because the
// answer was lost.
BOOST_AUTO_TEST_CASE(LostWriteAnswerIsResolvedByReadingBack)
{
  this->intercept = LoseWrites(*this, 1, true);
  StoreClient client({}, this->Hooks());
  Completion write;
  client.Write("desired", R"({"a":1})", 0, write.Function());
  this->Run(seconds(2));
  CheckResult(write, StoreStatus::Ok, 1);
  BOOST_TEST(this->Count(StoreRequestKind::Write) == 1U);
  BOOST_TEST(this->version == 1U);
  Completion read;
  client.Read("desired", read.Function());
  this->Run(seconds(1));
  CheckResult(read, StoreStatus::Ok, 1);
  BOOST_TEST(read.result->object.body == R"({"a":1})");
}

// Guards against abandoning a write that never arrived.
BOOST_AUTO_TEST_CASE(LostWriteWithoutEffectIsSentAgain)
{
  this->intercept = LoseWrites(*this, 1, false);
  StoreClient client({}, this->Hooks());
  Completion write;
  client.Write("desired", R"({"a":1})", 0, write.Function());
  this->Run(seconds(2));
  CheckResult(write, StoreStatus::Ok, 1);
  BOOST_TEST(this->version == 1U);
}

// Guards against reporting a conflict with the client's own write: the first
// request takes effect only after the read-back, when the write is sent again.
BOOST_AUTO_TEST_CASE(LateEffectOfLostWriteIsNotAConflict)
{
  int writes = 0;
  this->intercept = [&](const StoreRequest& aRequest, const Done& aDone) {
    if (aRequest.kind != StoreRequestKind::Write || ++writes > 1) {
      if (writes == 2 && this->version == 0 &&
          aRequest.kind == StoreRequestKind::Write) {
        this->Serve(this->requests.front().second);
      }
      return false;
    }
    this->After(milliseconds(1), [aDone]() { aDone(Lost()); });
    return true;
  };
  StoreClient client({}, this->Hooks());
  Completion write;
  client.Write("desired", R"({"a":1})", 0, write.Function());
  this->Run(seconds(3));
  CheckResult(write, StoreStatus::Ok, 1);
  BOOST_TEST(this->Count(StoreRequestKind::Write) == 2U);
}

// Guards against treating another client's version as this client's write after
// a lost answer.
BOOST_AUTO_TEST_CASE(LostWriteThatLostTheRaceIsAConflict)
{
  this->intercept = LoseWrites(*this, 1, false);
  StoreClient client({}, this->Hooks());
  Completion write;
  client.Write("desired", R"({"a":1})", 0, write.Function());
  this->WriteByOther(R"({"b":2})");
  this->Run(seconds(2));
  CheckResult(write, StoreStatus::Conflict, 1);
  BOOST_TEST(this->Count(StoreRequestKind::Write) == 1U);
}

// Guards against reporting success or failure when neither is certain: the
// write may have taken effect and been replaced since.
BOOST_AUTO_TEST_CASE(LostWriteThatMayHaveBeenReplacedIsUnknown)
{
  this->intercept = LoseWrites(*this, 1, true);
  StoreClient client({}, this->Hooks());
  Completion write;
  client.Write("desired", R"({"a":1})", 0, write.Function());
  this->WriteByOther(R"({"b":2})");
  this->Run(seconds(2));
  CheckResult(write, StoreStatus::Unknown, 2);
}

// Guards against a conflict result without the version that is in the store.
BOOST_AUTO_TEST_CASE(ConflictReturnsTheStoredVersion)
{
  this->WriteByOther("{}");
  this->WriteByOther("{}");
  StoreClient client({}, this->Hooks());
  Completion write;
  client.Write("desired", R"({"a":1})", 1, write.Function());
  this->Run(seconds(1));
  CheckResult(write, StoreStatus::Conflict, 2);
  BOOST_TEST(write.result->detail == "version is 2, not 1");
}

// Guards against reporting that nothing was written when the write may have
// taken effect.
BOOST_AUTO_TEST_CASE(OutageDuringWriteReportsWhetherItMayHaveTakenEffect)
{
  this->intercept = [&](const StoreRequest&, const Done& aDone) {
    this->After(milliseconds(1), [aDone]() { aDone(Status(503)); });
    return true;
  };
  StoreClient client({}, this->Hooks());
  Completion refused;
  client.Write("desired", "{}", 0, refused.Function());
  this->Run(seconds(25));
  CheckResult(refused, StoreStatus::Unavailable, 0);
  BOOST_TEST(refused.result->detail == "store answered 503");

  this->intercept = [&](const StoreRequest&, const Done&) { return true; };
  Completion unanswered;
  client.Write("desired", "{}", 0, unanswered.Function());
  this->Run(seconds(25));
  CheckResult(unanswered, StoreStatus::Unknown, 0);
}

// Guards against clients that overload an unavailable store, or that all retry
// at the same time.
BOOST_AUTO_TEST_CASE(OutageBacksOffWithJitterWithinTheBudget)
{
  const auto outageEnd = this->now + seconds(120);
  this->intercept = [&](const StoreRequest&, const Done& aDone) {
    if (this->now >= outageEnd) {
      return false;
    }
    this->After(milliseconds(1), [aDone]() { aDone(Status(503)); });
    return true;
  };
  const StoreClientSettings settings;
  std::vector<std::vector<core::TimePoint>> times;
  for (const std::uint64_t seed : { 1U, 2U }) {
    this->now = outageEnd - seconds(120);
    this->timers.clear();
    this->requests.clear();
    StoreClient client(settings, this->Hooks(seed));
    for (int tick = 0; tick < 1200; ++tick) {
      client.Read("desired", [](const StoreResult& aResult) {
        BOOST_TEST((aResult.status == StoreStatus::Unavailable));
      });
      this->Run(milliseconds(100));
    }
    auto& list = times.emplace_back();
    for (const auto& [time, request] : this->requests) {
      list.push_back(time);
    }
    for (std::size_t index = 1; index < list.size(); ++index) {
      // Jitter shortens a delay to half at most.
      const auto minGap = std::min(settings.longestBackoff / 2,
                                   settings.firstBackoff / 2 *
                                     (std::int64_t{ 1 } << (index - 1)));
      BOOST_TEST((list[index] - list[index - 1] >= minGap), index);
    }
    BOOST_TEST(client.IsFailing());
  }
  BOOST_TEST((times[0] != times[1]));
}

// Guards against a client that does not send requests again after an outage.
BOOST_AUTO_TEST_CASE(ReadsSucceedAfterAnOutage)
{
  this->WriteByOther("{}");
  bool isDown = true;
  this->intercept = [&](const StoreRequest&, const Done& aDone) {
    if (isDown) {
      this->After(milliseconds(1), [aDone]() { aDone(Status(503)); });
    }
    return isDown;
  };
  StoreClient client({}, this->Hooks());
  Completion during;
  client.Read("desired", during.Function());
  this->Run(seconds(60));
  CheckResult(during, StoreStatus::Unavailable, 0);
  isDown = false;
  Completion after;
  client.Read("desired", after.Function());
  this->Run(StoreClientSettings{}.longestBackoff);
  CheckResult(after, StoreStatus::Ok, 1);
  BOOST_TEST(!client.IsFailing());
}

// Guards against one daemon using up the request rate that all clients share.
BOOST_AUTO_TEST_CASE(CallsStayWithinTheBudget)
{
  this->WriteByOther("{}");
  const StoreClientSettings settings{ .requestsPerSecond = 5, .burst = 10 };
  StoreClient client(settings, this->Hooks());
  for (int tick = 0; tick < 1000; ++tick) {
    client.Read("desired", [](const StoreResult&) {});
    this->Run(milliseconds(10));
  }
  BOOST_TEST(client.RequestCount() >= 55U);
  BOOST_TEST(client.RequestCount() <= 60U);
}

// Guards against reverting a configuration: an answer with an older version
// arrives after one with a newer version.
BOOST_AUTO_TEST_CASE(DelayedOlderAnswerNeverReplacesANewerOne)
{
  this->WriteByOther(R"({"a":1})");
  bool delaysNextAnswer = true;
  this->intercept = [&](const StoreRequest& aRequest, const Done& aDone) {
    if (!std::exchange(delaysNextAnswer, false)) {
      return false;
    }
    this->After(milliseconds(500),
                [aDone, answer = this->Serve(aRequest)]() { aDone(answer); });
    return true;
  };
  StoreClient client({}, this->Hooks());
  Completion delayed;
  client.Read("desired", delayed.Function());
  this->WriteByOther(R"({"a":2})");
  Completion prompt;
  client.Read("desired", prompt.Function());
  this->Run(milliseconds(100));
  CheckResult(prompt, StoreStatus::Ok, 2);
  BOOST_TEST(!delayed.result.has_value());
  this->Run(seconds(1));
  CheckResult(delayed, StoreStatus::Ok, 2);
  BOOST_TEST(delayed.result->object.body == R"({"a":2})");
}

// Guards against accepting a version that is older than one reported by another
// daemon.
BOOST_AUTO_TEST_CASE(AnswersOlderThanANotedVersionAreStale)
{
  this->WriteByOther("{}");
  StoreClient client({}, this->Hooks());
  client.NoteVersion("desired", 2);
  Completion read;
  client.Read("desired", read.Function());
  Completion watch;
  client.Watch("desired", 0, watch.Function());
  this->Run(seconds(5));
  CheckResult(read, StoreStatus::Stale, 1);
  CheckResult(watch, StoreStatus::NotModified, 0);
}

// Guards against completing an operation twice, or with the answer to an
// attempt that has timed out.
BOOST_AUTO_TEST_CASE(AnswerAfterTheTimeoutIsIgnored)
{
  this->WriteByOther("{}");
  Done lateAnswer;
  this->intercept = [&](const StoreRequest&, const Done& aDone) {
    if (lateAnswer) {
      return false;
    }
    lateAnswer = aDone;
    return true;
  };
  StoreClient client({}, this->Hooks());
  Completion read;
  client.Read("desired", read.Function());
  this->Run(seconds(3));
  CheckResult(read, StoreStatus::Ok, 1);
  lateAnswer(Status(404));
  this->Run(seconds(1));
  CheckResult(read, StoreStatus::Ok, 1);
}

// Guards against a watch that misses a change or never ends.
BOOST_AUTO_TEST_CASE(WatchReturnsNewerVersionsOnly)
{
  this->WriteByOther(R"({"a":1})");
  StoreClient client({}, this->Hooks());
  this->intercept = [&](const StoreRequest& aRequest, const Done& aDone) {
    BOOST_TEST((aRequest.kind == StoreRequestKind::Watch));
    this->After(aRequest.watchTime, [aDone]() { aDone(Status(304)); });
    return true;
  };
  Completion unchanged;
  client.Watch("desired", 1, unchanged.Function());
  this->Run(seconds(31));
  CheckResult(unchanged, StoreStatus::NotModified, 0);
  this->intercept = nullptr;
  this->WriteByOther(R"({"a":2})");
  Completion changed;
  client.Watch("desired", 1, changed.Function());
  this->Run(seconds(1));
  CheckResult(changed, StoreStatus::Ok, 2);
  BOOST_TEST(changed.result->object.body == R"({"a":2})");
}

// Guards against restoring removed hosts from a lagging replica of the
// platform.
BOOST_AUTO_TEST_CASE(OlderHostListIsStale)
{
  std::uint64_t listVersion = 5;
  this->intercept = [&](const StoreRequest&, const Done& aDone) {
    StoreResponse response = Status(200);
    response.body =
      R"({"version":)" + std::to_string(listVersion) + R"(,"hosts":[]})";
    aDone(response);
    return true;
  };
  StoreClient client({}, this->Hooks());
  std::vector<StoreStatus> statuses;
  const auto done = [&](const HostsResult& aResult) {
    statuses.push_back(aResult.status);
  };
  client.Hosts(0, done);
  listVersion = 4;
  client.Hosts(0, done);
  listVersion = 6;
  client.Hosts(0, done);
  BOOST_TEST((statuses == std::vector<StoreStatus>{ StoreStatus::Ok,
                                                    StoreStatus::Stale,
                                                    StoreStatus::Ok }));
}

// Guards against use of a destroyed client, for example by a timer.
BOOST_AUTO_TEST_CASE(ClientMayBeDestroyedInACompletionFunction)
{
  this->WriteByOther("{}");
  auto client =
    std::make_unique<StoreClient>(StoreClientSettings{}, this->Hooks());
  int completions = 0;
  for (int index = 0; index < 3; ++index) {
    client->Read("desired", [&](const StoreResult&) {
      ++completions;
      client.reset();
    });
  }
  this->Run(seconds(60));
  BOOST_TEST(completions == 1);
}

BOOST_AUTO_TEST_SUITE_END()
