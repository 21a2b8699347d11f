#include "routing/ServiceDispatcher.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cmath>
#include <map>
#include <queue>
#include <random>
#include <set>

using namespace fireflytrail;
using namespace fireflytrail::routing;
using namespace std::chrono_literals;
using core::ErrorKind;

namespace {

std::shared_ptr<const BackendInstance>
Instance(const std::string& aId, const std::string& aDomain = "a")
{
  BackendInstance instance;
  instance.id = aId;
  instance.service = "s";
  instance.version = "v1";
  instance.address = "127.0.0.1:1";
  instance.failureDomain = aDomain;
  instance.slots = 4;
  return std::make_shared<const BackendInstance>(std::move(instance));
}

struct Fixture
{
  core::TimePoint time{ 1h };
  std::uint64_t lastRandom = 0;
  std::map<std::uint64_t, DispatchResult> results;
  std::vector<std::uint64_t> decidedIds;
  ServiceDispatcher dispatcher{
    { .now = [this] { return this->time; },
      .random = [this] { return this->lastRandom += 0x9e3779b97f4a7c15ULL; },
      .decided =
        [this](std::uint64_t aId, const DispatchResult& aResult) {
          BOOST_TEST(!this->results.contains(aId));
          this->results[aId] = aResult;
          this->decidedIds.push_back(aId);
        },
      .measure =
        [this](const std::shared_ptr<const BackendInstance>& aInstance) {
          ++this->measured[aInstance->id];
        } }
  };
  std::map<std::string, int> measured;
  bool isCentrallyDispatched = false;
  std::uint32_t expectedBytes = 0;
  std::uint64_t nextId = 0;

  std::uint64_t Submit(core::TimePoint::duration aGoal = 600ms,
                       core::TimePoint::duration aDeadline = 2s,
                       unsigned aPriority = 0,
                       std::vector<std::uint64_t> aAvoid = {})
  {
    DispatchRequest request;
    request.id = ++this->nextId;
    request.failureDomain = "a";
    request.goal = this->time + aGoal;
    request.deadline = this->time + aDeadline;
    request.priority = aPriority;
    request.expectedBytes = this->expectedBytes;
    request.isCentrallyDispatched = this->isCentrallyDispatched;
    request.avoid = std::move(aAvoid);
    this->dispatcher.Submit(std::move(request));
    return this->nextId;
  }

  std::string InstanceOf(std::uint64_t aId) const
  {
    const auto found = this->results.find(aId);
    return found == this->results.end() || !found->second.instance
             ? std::string()
             : found->second.instance->id;
  }

  void Release(std::uint64_t aId,
               AttemptOutcome aOutcome = AttemptOutcome::Answered,
               std::chrono::nanoseconds aDuration = 100ms,
               std::optional<LoadSample> aSample = {})
  {
    this->dispatcher.Release(
      this->results.at(aId).grant, aOutcome, aDuration, aSample);
  }
};

} // namespace

// Guards against filling an instance to its last slot, which makes its requests
// take 1.7 times as long, while another instance has free slots.
BOOST_FIXTURE_TEST_CASE(LeavesTheLastSlotOfAnInstanceFree, Fixture)
{
  this->dispatcher.SetInstances({ { Instance("x") }, { Instance("y") } });
  std::map<std::string, int> counts;
  for (int index = 0; index < 6; ++index) {
    ++counts[this->InstanceOf(this->Submit())];
  }
  BOOST_TEST(counts["x"] == 3);
  BOOST_TEST(counts["y"] == 3);
  const std::uint64_t waiting = this->Submit();
  BOOST_TEST(!this->results.contains(waiting));
  this->Release(1);
  BOOST_TEST(this->results.contains(waiting));
}

// Guards against a queue in order of arrival: a request that can still meet its
// goal must not wait behind one that cannot.
BOOST_FIXTURE_TEST_CASE(ServesRequestsThatCanMeetTheirGoalFirst, Fixture)
{
  this->dispatcher.SetInstances({ { Instance("x") } });
  for (int index = 0; index < 3; ++index) {
    this->Submit();
  }
  const std::uint64_t late = this->Submit(50ms);
  const std::uint64_t inTime = this->Submit(600ms);
  this->Release(1);
  BOOST_TEST(this->results.contains(inTime));
  BOOST_TEST(!this->results.contains(late));
  this->Release(2);
  BOOST_TEST(this->results.contains(late));
}

// Guards against serving every request of a lasting burst just too late because
// the oldest goes first.
BOOST_FIXTURE_TEST_CASE(ServesTheNewestFirstAmongThoseInTime, Fixture)
{
  this->dispatcher.SetInstances({ { Instance("x") } });
  for (int index = 0; index < 3; ++index) {
    this->Submit();
  }
  const std::uint64_t older = this->Submit(600ms);
  this->time += 50ms;
  const std::uint64_t newer = this->Submit(600ms);
  this->Release(1);
  BOOST_TEST(this->results.contains(newer));
  BOOST_TEST(!this->results.contains(older));
}

// Guards against a typical duration that stays short while requests time out:
// requests that cannot end before their deadline would still get slots.
BOOST_FIXTURE_TEST_CASE(TimeOutsRaiseTheTypicalDuration, Fixture)
{
  this->dispatcher.SetInstances({ { Instance("x") } });
  const auto before = this->dispatcher.TypicalDuration();
  this->Release(this->Submit(), AttemptOutcome::TimedOut, 2s);
  BOOST_TEST((this->dispatcher.TypicalDuration() > before));
}

// Guards against urgent requests waiting behind less important ones.
BOOST_FIXTURE_TEST_CASE(ServesUrgentRequestsFirst, Fixture)
{
  this->dispatcher.SetInstances({ { Instance("x") } });
  for (int index = 0; index < 3; ++index) {
    this->Submit();
  }
  const std::uint64_t low = this->Submit(600ms, 2s, 2);
  const std::uint64_t urgent = this->Submit(600ms, 2s, 0);
  this->Release(1);
  BOOST_TEST(this->results.contains(urgent));
  BOOST_TEST(!this->results.contains(low));
}

// Guards against holding a request that cannot be served by its deadline. It is
// refused at once, with the estimated time until there is capacity.
BOOST_FIXTURE_TEST_CASE(RefusesAtOnceRequestsThatCannotBeServed, Fixture)
{
  this->dispatcher.SetInstances({ { Instance("x") } });
  for (int index = 0; index < 3; ++index) {
    this->Submit();
  }
  std::size_t submitted = 0;
  while (this->decidedIds.size() == 3 && submitted < 30) {
    this->Submit(200ms, 500ms);
    ++submitted;
  }
  BOOST_REQUIRE(this->decidedIds.size() == 4U);
  const DispatchResult& refused = this->results.at(this->decidedIds.back());
  BOOST_TEST((refused.kind == ErrorKind::Overloaded));
  // At most 150 ms of work may wait: 4 requests of 100 ms for 3 slots. A caller
  // that retries after these are done finds a free slot; up to half of that
  // time is added as jitter.
  BOOST_TEST(submitted == 5U);
  BOOST_TEST(refused.retryAfter.count() >= 150);
  BOOST_TEST(refused.retryAfter.count() <= 300);
}

// Guards against holding requests of a lasting burst for so long before they
// are refused that their callers can no longer retry (seen in
// icheon-lampgas-grown scale-1: 875 of 2,500 ms), and against asking all
// callers to retry at the same time.
BOOST_FIXTURE_TEST_CASE(RefusesTheExcessOfABurstEarly, Fixture)
{
  this->dispatcher.SetInstances({ { Instance("x") } });
  std::map<std::uint64_t, core::TimePoint> submittedAt;
  std::set<std::uint64_t> running;
  std::size_t processedCount = 0;
  // Twice the capacity of three slots at 100 ms per request, for two seconds.
  for (int index = 0; index < 120; ++index) {
    submittedAt[this->Submit(600ms, 2500ms)] = this->time;
    this->time += std::chrono::microseconds(16'667);
    if (index % 2 == 1 && !running.empty()) {
      this->Release(*running.begin());
      running.erase(running.begin());
    }
    for (; processedCount < this->decidedIds.size(); ++processedCount) {
      const std::uint64_t id = this->decidedIds[processedCount];
      const DispatchResult& result = this->results.at(id);
      if (result.instance) {
        running.insert(id);
        continue;
      }
      // Most of the caller's time must be left.
      BOOST_TEST((this->time - submittedAt.at(id) <= 600ms));
    }
  }
  std::vector<std::chrono::milliseconds> retries;
  for (const std::uint64_t id : this->decidedIds) {
    if (!this->results.at(id).instance) {
      retries.push_back(this->results.at(id).retryAfter);
    }
  }
  // Half of the 120 requests, less those that wait.
  BOOST_REQUIRE(retries.size() >= 45U);
  // The refusals of one second are expected to retry by then: 30 at 30 a
  // second.
  BOOST_TEST((retries.back() >= 500ms));
}

// Guards against holding requests until their deadline although their instances
// do not come back and no slot becomes free.
BOOST_FIXTURE_TEST_CASE(RefusesWaitingRequestsBeforeTheirDeadline, Fixture)
{
  this->dispatcher.SetInstances({ { Instance("x") } });
  for (int index = 0; index < 3; ++index) {
    this->Submit();
  }
  const std::uint64_t waiting = this->Submit(200ms, 500ms);
  this->time += 390ms;
  this->dispatcher.Tick();
  BOOST_TEST(!this->results.contains(waiting));
  this->time += 20ms;
  this->dispatcher.Tick();
  BOOST_REQUIRE(this->results.contains(waiting));
  BOOST_TEST((this->results.at(waiting).kind == ErrorKind::Overloaded));
}

// Guards against an instance that fails fast and attracts all requests because
// it looks idle.
BOOST_FIXTURE_TEST_CASE(ExcludesAnInstanceThatFailsFast, Fixture)
{
  this->dispatcher.SetInstances({ { Instance("bad") }, { Instance("good") } });
  int badCount = 0;
  for (int index = 0; index < 100; ++index) {
    const std::uint64_t id = this->Submit();
    BOOST_REQUIRE(!this->InstanceOf(id).empty());
    this->time += 5ms;
    if (this->InstanceOf(id) == "bad") {
      ++badCount;
      this->Release(id, AttemptOutcome::Failed, 1ms);
    } else {
      this->Release(id, AttemptOutcome::Answered, 5ms);
    }
  }
  BOOST_TEST(badCount <= 4);
}

// Guards against choosing an instance that noisy neighbours slow down at the
// moment.
BOOST_FIXTURE_TEST_CASE(AvoidsAnInstanceThatReportsSlowness, Fixture)
{
  this->dispatcher.SetInstances({ { Instance("slow") }, { Instance("fast") } });
  std::uint64_t slow = this->Submit();
  const std::uint64_t other = this->Submit();
  if (this->InstanceOf(slow) != "slow") {
    slow = other;
  }
  this->Release(slow,
                AttemptOutcome::Answered,
                100ms,
                LoadSample{ .running = 1, .slots = 4, .slowdown = 4 });
  this->time += 50ms;
  BOOST_TEST(this->InstanceOf(this->Submit()) == "fast");
  // Neighbours change several times a second, so the report soon says nothing.
  this->time += 2s;
  std::set<std::string> used;
  for (int index = 0; index < 4; ++index) {
    used.insert(this->InstanceOf(this->Submit()));
  }
  BOOST_TEST(used.contains("slow"));
}

// Guards against counting a request twice: a report includes the request with
// whose answer it came.
BOOST_FIXTURE_TEST_CASE(AReportIncludesItsOwnRequest, Fixture)
{
  this->dispatcher.SetInstances({ { Instance("x") } });
  this->Release(this->Submit(),
                AttemptOutcome::Answered,
                100ms,
                LoadSample{ .running = 1, .slots = 4 });
  for (int index = 0; index < 3; ++index) {
    BOOST_TEST(this->InstanceOf(this->Submit()) == "x");
  }
}

// Guards against preferring an instance with an old good report. It is slow as
// often as any other; one that has just reported its usual speed seldom is.
BOOST_FIXTURE_TEST_CASE(PrefersTheMostRecentGoodReport, Fixture)
{
  this->dispatcher.SetInstances({ { Instance("x") }, { Instance("y") } });
  const LoadSample good{ .running = 1, .slots = 4 };
  const LoadSample slow{ .running = 1, .slots = 4, .slowdown = 4 };
  // Lets the dispatcher learn the average slowdown of the service.
  for (int index = 0; index < 100; ++index) {
    const std::uint64_t id = this->Submit();
    this->Release(
      id, AttemptOutcome::Answered, 100ms, index % 4 == 0 ? slow : good);
    this->time += 400ms;
  }
  const std::uint64_t first = this->Submit();
  const std::uint64_t second = this->Submit(
    600ms,
    2s,
    0,
    { ServiceDispatcher::KeyOf(*this->results.at(first).instance) });
  this->Release(first, AttemptOutcome::Answered, 100ms, good);
  this->time += 300ms;
  this->Release(second, AttemptOutcome::Answered, 100ms, good);
  BOOST_TEST(this->InstanceOf(this->Submit()) == this->InstanceOf(second));
  BOOST_TEST(this->InstanceOf(this->Submit()) == this->InstanceOf(second));
}

// Guards against sending a request to an instance at which it will be late
// while it can still be in time elsewhere, and against leaving slow instances
// unused when requests are late anyway.
BOOST_FIXTURE_TEST_CASE(LeavesSlowInstancesToLateRequests, Fixture)
{
  this->dispatcher.SetInstances({ { Instance("x") } });
  this->Release(this->Submit(),
                AttemptOutcome::Answered,
                100ms,
                LoadSample{ .running = 1, .slots = 4, .slowdown = 4 });
  const std::uint64_t inTime = this->Submit(350ms);
  BOOST_TEST(!this->results.contains(inTime));
  const std::uint64_t late = this->Submit(50ms);
  BOOST_TEST(this->InstanceOf(late) == "x");
  // The report of the slowdown is too old by then.
  this->time += 210ms;
  this->dispatcher.Tick();
  BOOST_TEST(this->InstanceOf(inTime) == "x");
}

// Guards against measuring an instance more often than the minimum interval
// allows, or from a daemon that does not dispatch for all hosts.
BOOST_FIXTURE_TEST_CASE(MeasuresIdleInstancesAtALimitedRate, Fixture)
{
  this->dispatcher.SetInstances({ { Instance("x") }, { Instance("y") } });
  this->isCentrallyDispatched = false;
  this->Submit();
  BOOST_TEST(this->measured.empty());
  this->isCentrallyDispatched = true;
  for (int index = 0; index < 100; ++index) {
    this->Release(this->Submit());
    this->time += 10ms;
  }
  // In one second, at one percent of four slots and 6 ms per measurement.
  BOOST_TEST(this->measured["x"] >= 2);
  BOOST_TEST(this->measured["x"] <= 7);
  BOOST_TEST(this->measured["y"] <= 7);
}

// Guards against sending the load of a warm instance to one that has become
// cold without notice.
BOOST_FIXTURE_TEST_CASE(PacesAnInstanceThatIsMeasuredCold, Fixture)
{
  configuration::BackendService service;
  service.coldRequestsPerSecond = 5;
  this->dispatcher.SetService(service);
  const auto instance = Instance("x");
  this->dispatcher.SetInstances({ { instance } });
  this->dispatcher.OnMeasured(*instance, Measurement{ { .slots = 4 }, 2s });
  BOOST_TEST(this->InstanceOf(this->Submit()) == "x");
  const std::uint64_t second = this->Submit();
  BOOST_TEST(!this->results.contains(second));
  this->time += 200ms;
  this->dispatcher.Tick();
  BOOST_TEST(this->results.contains(second));
}

// Guards against crossing failure domains without need, since that traffic is
// billed, and against staying in a failure domain without free slots.
BOOST_FIXTURE_TEST_CASE(PrefersItsFailureDomainWhileThereIsRoom, Fixture)
{
  this->expectedBytes = 5000;
  this->dispatcher.SetInstances(
    { { Instance("far", "b") }, { Instance("near", "a") } });
  for (int index = 0; index < 3; ++index) {
    BOOST_TEST(this->InstanceOf(this->Submit()) == "near");
  }
  BOOST_TEST(this->InstanceOf(this->Submit()) == "far");
}

// Guards against sending more to a cold instance than it can handle when all
// others are full.
BOOST_FIXTURE_TEST_CASE(PacesColdInstances, Fixture)
{
  configuration::BackendService service;
  service.coldRequestsPerSecond = 5;
  this->dispatcher.SetService(service);
  BackendInstance cold = *Instance("cold");
  cold.remainingColdTime = 3s;
  this->dispatcher.SetInstances(
    { { std::make_shared<const BackendInstance>(cold) } });
  int grantedCount = 0;
  for (int index = 0; index < 100; ++index) {
    const std::uint64_t id = this->Submit(600ms, 10s);
    this->time += 10ms;
    this->dispatcher.Tick();
    if (this->results.contains(id)) {
      this->Release(id, AttemptOutcome::Answered, 1ms);
    }
  }
  for (const auto& [id, result] : this->results) {
    grantedCount += result.instance ? 1 : 0;
  }
  BOOST_TEST(grantedCount >= 4);
  BOOST_TEST(grantedCount <= 6);
}

// Guards against hosts that decide alone and each use the whole rate of a cold
// instance, so that together they overload it.
BOOST_FIXTURE_TEST_CASE(UsesOnlyItsShareOfAColdInstancesRate, Fixture)
{
  configuration::BackendService service;
  service.coldRequestsPerSecond = 5;
  this->dispatcher.SetService(service);
  BackendInstance cold = *Instance("cold");
  cold.remainingColdTime = 30s;
  this->dispatcher.SetInstances(
    { { std::make_shared<const BackendInstance>(cold) } });
  int grantedCount = 0;
  for (int index = 0; index < 100; ++index) {
    DispatchRequest request;
    request.id = ++this->nextId;
    request.goal = this->time + 50ms;
    request.deadline = this->time + 50ms;
    request.coldRateShare = 0.1;
    this->dispatcher.Submit(std::move(request));
    grantedCount += this->InstanceOf(this->nextId).empty() ? 0 : 1;
    this->time += 100ms;
  }
  // Ten seconds at half a request per second.
  BOOST_TEST(grantedCount <= 6);
}

// Guards against sending a request again to an instance that was already tried,
// and against requests for a version on trial beyond its share.
BOOST_FIXTURE_TEST_CASE(SkipsTriedInstancesAndThoseOnTrial, Fixture)
{
  const auto first = Instance("first");
  DispatchTarget trial{ Instance("trial"), true, true };
  this->dispatcher.SetInstances({ { first }, trial });
  const std::uint64_t id =
    this->Submit(600ms, 2s, 0, { ServiceDispatcher::KeyOf(*first) });
  BOOST_TEST((this->results.at(id).kind == ErrorKind::NoServer));
  for (int index = 0; index < 3; ++index) {
    BOOST_TEST(this->InstanceOf(this->Submit()) == "first");
  }
}

// Guards against a version on trial that gets more than its share because every
// host adds its own, and against using old instances when all requests are to
// go to the new version.
BOOST_FIXTURE_TEST_CASE(OnlyTheDispatcherForAllUsesTheTrialShare, Fixture)
{
  DispatchTarget trial{ Instance("new"), true, true };
  this->dispatcher.SetInstances({ { Instance("old") }, trial });
  this->dispatcher.SetSettings({ .trialShare = 0.5 });
  const auto countNew = [this] {
    int count = 0;
    for (int index = 0; index < 20; ++index) {
      const std::uint64_t id = this->Submit();
      count += this->InstanceOf(id) == "new" ? 1 : 0;
      this->Release(id);
    }
    return count;
  };
  BOOST_TEST(countNew() == 0);
  this->isCentrallyDispatched = true;
  BOOST_TEST(countNew() == 10);
  this->dispatcher.SetSettings({ .trialShare = 1 });
  for (int index = 0; index < 3; ++index) {
    BOOST_TEST(this->InstanceOf(this->Submit()) == "new");
  }
  const std::uint64_t waiting = this->Submit();
  BOOST_TEST(!this->results.contains(waiting));
  BOOST_TEST(this->dispatcher.GrantCount(true) == 3U);
  BOOST_TEST(this->dispatcher.GrantCount(false) == 0U);
}

// Guards against losing slots forever when the host that holds the grants has
// died.
BOOST_FIXTURE_TEST_CASE(GrantsExpireAfterTheirDeadline, Fixture)
{
  this->dispatcher.SetInstances({ { Instance("x") } });
  for (int index = 0; index < 3; ++index) {
    this->Submit(600ms, 1s);
  }
  this->time += 2100ms;
  this->dispatcher.Tick();
  BOOST_TEST(this->dispatcher.GrantCount() == 0U);
  BOOST_TEST(this->InstanceOf(this->Submit()) == "x");
}

namespace {

/** Sends requests at a constant rate for three seconds to 4 instances with 3
 * usable slots each, whose requests take 200 ms. Returns the share that is
 * answered within 600 ms. */
double
ReplayBurst(Fixture& aFixture, double aRequestsPerSecond)
{
  std::vector<DispatchTarget> targets;
  for (const char* id : { "a", "b", "c", "d" }) {
    targets.push_back({ Instance(id) });
  }
  aFixture.dispatcher.SetInstances(targets);
  const core::TimePoint begin = aFixture.time;
  std::map<std::uint64_t, core::TimePoint> arrivals;
  std::multimap<core::TimePoint, std::uint64_t> running;
  std::size_t processedCount = 0;
  int inTime = 0;
  const int total = static_cast<int>(aRequestsPerSecond * 3);
  for (int index = 0; index < total; ++index) {
    const core::TimePoint next =
      begin + std::chrono::duration_cast<core::TimePoint::duration>(
                std::chrono::duration<double>(index / aRequestsPerSecond));
    const auto startGranted = [&] {
      for (; processedCount < aFixture.decidedIds.size(); ++processedCount) {
        const std::uint64_t id = aFixture.decidedIds[processedCount];
        if (aFixture.results.at(id).instance) {
          running.emplace(aFixture.time + 200ms, id);
        }
      }
    };
    while (!running.empty() && running.begin()->first <= next) {
      const auto [end, id] = *running.begin();
      running.erase(running.begin());
      aFixture.time = end;
      inTime += end - arrivals.at(id) <= 600ms ? 1 : 0;
      aFixture.Release(id, AttemptOutcome::Answered, 200ms);
      startGranted();
    }
    aFixture.time = next;
    arrivals[aFixture.nextId + 1] = next;
    aFixture.Submit(600ms, 2s);
    startGranted();
  }
  return static_cast<double>(inTime) / total;
}

} // namespace

// Guards against congestion collapse: at twice the capacity of 60 requests a
// second, at least 0.9 of the capacity must be served in time. In order of
// arrival, only the requests of the first second would be.
BOOST_FIXTURE_TEST_CASE(ABurstAboveCapacityKeepsGoodput, Fixture)
{
  BOOST_TEST(ReplayBurst(*this, 120) >= 0.9 * 0.5);
}

// Guards against late or refused requests below capacity.
BOOST_FIXTURE_TEST_CASE(LoadBelowCapacityIsServedInTime, Fixture)
{
  BOOST_TEST(ReplayBurst(*this, 50) >= 0.98 * (1 - 0.2 / 3));
}

namespace {

struct LimitFixture : Fixture
{
  double limitShare = 1;

  std::uint64_t SubmitLimited(core::TimePoint::duration aDeadline)
  {
    DispatchRequest request;
    request.id = ++this->nextId;
    request.failureDomain = "a";
    request.goal = this->time + aDeadline;
    request.deadline = this->time + aDeadline;
    request.limitShare = this->limitShare;
    this->dispatcher.Submit(std::move(request));
    return this->nextId;
  }

  /** Releases a request whose answer named a limit, or none. */
  void ReleaseWithLimit(std::uint64_t aId, std::optional<double> aLimit)
  {
    this->dispatcher.Release(this->results.at(aId).grant,
                             AttemptOutcome::Answered,
                             1ms,
                             std::nullopt,
                             ServerNotice{ .requestsPerSecond = aLimit });
  }

  /** Sends a request every 10 ms and returns how many were granted. */
  int CountGranted(core::TimePoint::duration aTime,
                   std::optional<double> aLimit)
  {
    int count = 0;
    for (const core::TimePoint end = this->time + aTime; this->time < end;) {
      const std::uint64_t id = this->SubmitLimited(20ms);
      this->time += 10ms;
      if (!this->InstanceOf(id).empty()) {
        ++count;
        this->ReleaseWithLimit(id, aLimit);
      }
    }
    return count;
  }
};

} // namespace

// Guards against a server in need that gets its usual share of requests
// although its answers name a limit (rule LIMIT; icheon-lampgas, capped,
// seed 41).
BOOST_FIXTURE_TEST_CASE(KeepsTheLimitThatAnInstanceNames, LimitFixture)
{
  this->dispatcher.SetInstances({ { Instance("limited") } });
  this->ReleaseWithLimit(this->SubmitLimited(1s), 5);
  const int granted = this->CountGranted(10s, 5);
  BOOST_TEST(granted >= 45);
  BOOST_TEST(granted <= 51);
  this->limitShare = 0.1;
  BOOST_TEST(this->CountGranted(10s, 5) <= 6);
}

// Guards against requests that wait for a limited instance until their deadline
// although others have room, or although it is known that none has.
BOOST_FIXTURE_TEST_CASE(RequestsBeyondALimitGoToOthersOrAreRefused,
                        LimitFixture)
{
  this->dispatcher.SetInstances({ { Instance("limited") } });
  this->ReleaseWithLimit(this->SubmitLimited(1s), 1);
  const std::uint64_t refused = this->SubmitLimited(500ms);
  BOOST_TEST(this->results.contains(refused));
  BOOST_TEST((this->results.at(refused).kind == ErrorKind::Overloaded));
  this->dispatcher.SetInstances(
    { { Instance("limited") }, { Instance("other") } });
  BOOST_TEST(this->InstanceOf(this->SubmitLimited(500ms)) == "other");
}

// Guards against an instance that stays limited after its answers no longer
// name a limit, and against an early end because a release of a host overtook
// that of another.
BOOST_FIXTURE_TEST_CASE(LimitEndsWithALaterAnswerWithoutIt, LimitFixture)
{
  this->dispatcher.SetInstances({ { Instance("limited") } });
  const std::uint64_t first = this->SubmitLimited(1s);
  const std::uint64_t second = this->SubmitLimited(1s);
  this->time += 50ms;
  this->ReleaseWithLimit(first, 1);
  this->ReleaseWithLimit(second, std::nullopt);
  BOOST_TEST(this->InstanceOf(this->SubmitLimited(100ms)).empty());
  this->time += 1s;
  const std::uint64_t later = this->SubmitLimited(100ms);
  BOOST_TEST(this->InstanceOf(later) == "limited");
  this->ReleaseWithLimit(later, std::nullopt);
  BOOST_TEST(this->InstanceOf(this->SubmitLimited(100ms)) == "limited");
  BOOST_TEST(this->InstanceOf(this->SubmitLimited(100ms)) == "limited");
}

// Guards against an instance that names the limit 0 and then never gets a
// request whose answer would end the limit.
BOOST_FIXTURE_TEST_CASE(InstanceWithLimitZeroIsTriedNowAndThen, LimitFixture)
{
  this->dispatcher.SetInstances({ { Instance("limited") } });
  this->ReleaseWithLimit(this->SubmitLimited(1s), 0);
  const int granted = this->CountGranted(12s, 0);
  BOOST_TEST(granted >= 2);
  BOOST_TEST(granted <= 3);
}

// Guards against measurements that a limited instance counts as requests.
BOOST_FIXTURE_TEST_CASE(DoesNotMeasureLimitedInstances, LimitFixture)
{
  this->dispatcher.SetInstances({ { Instance("limited") } });
  this->ReleaseWithLimit(this->SubmitLimited(1s), 5);
  this->isCentrallyDispatched = true;
  for (int index = 0; index < 20; ++index) {
    this->time += 200ms;
    this->Submit(20ms, 20ms);
  }
  BOOST_TEST(this->measured["limited"] == 0);
}

// Guards against requests to a server that has stated in an answer that it is
// leaving, while the store is silent or still lists it (rule DRAIN).
BOOST_FIXTURE_TEST_CASE(InstanceThatStatesItIsLeavingGetsNoMoreRequests,
                        Fixture)
{
  const auto leaving = Instance("leaving");
  this->dispatcher.SetInstances({ { leaving } });
  const std::uint64_t first = this->Submit();
  const std::uint64_t second = this->Submit();
  const std::uint64_t third = this->Submit();
  const std::uint64_t queued = this->Submit();
  BOOST_TEST(!this->results.contains(queued));
  const ServerNotice notice{ .isLeaving = true };
  this->dispatcher.Release(this->results.at(first).grant,
                           AttemptOutcome::Refused,
                           1ms,
                           std::nullopt,
                           notice);
  BOOST_TEST(this->dispatcher.IsLeaving(*leaving));
  BOOST_TEST((this->results.at(queued).kind == ErrorKind::NoServer));
  // A late answer, or an entry that appears again, does not revoke it.
  this->Release(second);
  this->dispatcher.SetInstances({});
  this->Release(third);
  this->dispatcher.SetInstances({ { leaving }, { Instance("other") } });
  for (int index = 0; index < 3; ++index) {
    BOOST_TEST(this->InstanceOf(this->Submit()) == "other");
  }
  // A new process with the same id is another server.
  BackendInstance restarted = *leaving;
  restarted.startedAt = 5;
  this->dispatcher.SetInstances(
    { { std::make_shared<const BackendInstance>(restarted) } });
  BOOST_TEST(this->InstanceOf(this->Submit()) == "leaving");
}

// Guards against the same if a health answer states it, or an answer whose
// request another daemon has granted.
BOOST_FIXTURE_TEST_CASE(LeavingIsLearnedFromMeasurementsAndObservations,
                        Fixture)
{
  const auto measured = Instance("measured");
  const auto observed = Instance("observed");
  this->dispatcher.SetInstances({ { measured }, { observed } });
  this->dispatcher.OnMeasured(
    *measured,
    Measurement{ { 0, 0, 4, 1 }, 0ms, ServerNotice{ .isLeaving = true } });
  this->dispatcher.Observe(*observed,
                           AttemptOutcome::Answered,
                           10ms,
                           std::nullopt,
                           ServerNotice{ .isLeaving = true });
  const std::uint64_t refused = this->Submit();
  BOOST_TEST((this->results.at(refused).kind == ErrorKind::NoServer));
}

namespace {

ServerNotice
PauseOf(std::chrono::milliseconds aTime)
{
  return ServerNotice{ .pause = aTime };
}

} // namespace

// Guards against requests to a server that wants a pause (rule BUDGET), also
// after answers to requests that were under way when it asked for it.
BOOST_FIXTURE_TEST_CASE(PausedInstanceGetsNoRequestsUntilThePauseIsOver,
                        Fixture)
{
  this->dispatcher.SetInstances({ { Instance("paused") } });
  const std::uint64_t first = this->Submit();
  const std::uint64_t second = this->Submit();
  this->dispatcher.Release(this->results.at(first).grant,
                           AttemptOutcome::Refused,
                           1ms,
                           std::nullopt,
                           PauseOf(1500ms));
  this->Release(second);
  this->dispatcher.SetInstances(
    { { Instance("paused") }, { Instance("other") } });
  this->time += 1400ms;
  for (int index = 0; index < 3; ++index) {
    BOOST_TEST(this->InstanceOf(this->Submit()) == "other");
  }
  this->time += 200ms;
  BOOST_TEST(this->InstanceOf(this->Submit()) == "paused");
}

// Guards against requests that wait, or callers that all return at the same
// moment, while all servers of a service pause.
BOOST_FIXTURE_TEST_CASE(AllInstancesPausedRefusesAtOnceWithTheFirstReturn,
                        Fixture)
{
  const auto first = Instance("first");
  const auto second = Instance("second");
  this->dispatcher.SetInstances({ { first }, { second } });
  this->dispatcher.Observe(
    *first, AttemptOutcome::Refused, 1ms, std::nullopt, PauseOf(5s));
  this->dispatcher.Observe(
    *second, AttemptOutcome::Refused, 1ms, std::nullopt, PauseOf(3s));
  this->time += 500ms;
  std::set<std::chrono::milliseconds> retryTimes;
  for (int index = 0; index < 10; ++index) {
    const std::uint64_t id = this->Submit(600ms, 10s);
    BOOST_REQUIRE(this->results.contains(id));
    BOOST_TEST((this->results.at(id).kind == ErrorKind::Overloaded));
    const auto retryAfter = this->results.at(id).retryAfter;
    BOOST_TEST((retryAfter >= 2500ms));
    BOOST_TEST((retryAfter <= 3750ms));
    retryTimes.insert(retryAfter);
  }
  BOOST_TEST(retryTimes.size() >= 5U);
}

// Guards against a limited instance that gets requests during a pause, or whose
// limit is forgotten during it.
BOOST_FIXTURE_TEST_CASE(PauseAndLimitHoldTogether, LimitFixture)
{
  this->dispatcher.SetInstances({ { Instance("limited") } });
  this->dispatcher.Release(this->results.at(this->SubmitLimited(1s)).grant,
                           AttemptOutcome::Refused,
                           1ms,
                           std::nullopt,
                           ServerNotice{ .requestsPerSecond = 5, .pause = 1s });
  BOOST_TEST(this->CountGranted(990ms, 5) == 0);
  const int granted = this->CountGranted(10s, 5);
  BOOST_TEST(granted >= 45);
  BOOST_TEST(granted <= 52);
}

// Guards against half of the throughput of instances with two slots in a burst:
// one slot stays free only while no request waits.
BOOST_FIXTURE_TEST_CASE(BothOfTwoSlotsAreUsedWhileRequestsWait, Fixture)
{
  std::vector<DispatchTarget> targets;
  for (const char* id : { "x", "y" }) {
    BackendInstance instance = *Instance(id);
    instance.slots = 2;
    targets.push_back(
      { std::make_shared<const BackendInstance>(std::move(instance)) });
  }
  this->dispatcher.SetInstances(targets);
  BOOST_TEST(this->InstanceOf(this->Submit()) !=
             this->InstanceOf(this->Submit()));
  const std::uint64_t third = this->Submit();
  const std::uint64_t fourth = this->Submit();
  const std::uint64_t fifth = this->Submit();
  BOOST_TEST(this->InstanceOf(third) != this->InstanceOf(fourth));
  BOOST_TEST(this->results.contains(third));
  BOOST_TEST(this->results.contains(fourth));
  BOOST_TEST(!this->results.contains(fifth));
}

// Guards against a dispatcher that becomes the bottleneck in a burst: the work
// for each request, measured by the looks at the clock, must not grow with the
// number of instances or of waiting requests while all are full.
BOOST_AUTO_TEST_CASE(WorkForARequestIsSmallWhileAllInstancesAreFull)
{
  constexpr int kInstances = 548;
  constexpr int kEvents = 1000;
  core::TimePoint time{ 1h };
  std::size_t looks = 0;
  std::map<std::uint64_t, DispatchResult> results;
  std::vector<std::uint64_t> granted;
  ServiceDispatcher dispatcher(
    { .now =
        [&] {
          ++looks;
          return time;
        },
      .random = [&] { return ++looks; },
      .decided =
        [&](std::uint64_t, const DispatchResult& aResult) {
          if (aResult.instance) {
            granted.push_back(aResult.grant);
          }
        },
      .measure = [](const std::shared_ptr<const BackendInstance>&) {} });
  std::vector<DispatchTarget> targets;
  targets.reserve(kInstances);
  for (int index = 0; index < kInstances; ++index) {
    targets.push_back({ Instance("i" + std::to_string(index)) });
  }
  dispatcher.SetInstances(targets);
  std::uint64_t lastId = 0;
  const auto submit = [&] {
    DispatchRequest request;
    request.id = ++lastId;
    request.failureDomain = "a";
    request.goal = time + 1000ms;
    request.deadline = time + 8s;
    request.isCentrallyDispatched = true;
    dispatcher.Submit(std::move(request));
  };
  for (int index = 0; index < 3 * kInstances + 300; ++index) {
    submit();
  }
  BOOST_REQUIRE(dispatcher.WaitingCount() >= 300U);
  looks = 0;
  std::size_t next = 0;
  for (int event = 0; event < kEvents; ++event) {
    // 1,000 requests a second.
    time += 1ms;
    dispatcher.Release(
      granted.at(next++), AttemptOutcome::Answered, 400ms, std::nullopt);
    submit();
  }
  BOOST_TEST(granted.size() >= 3U * kInstances + kEvents);
  BOOST_TEST(looks < 40U * kEvents);
}

// Guards against an instance that is never used again after its entry lapsed
// while a request ran there: the end of the request was subtracted from a new
// count, which wrapped.
BOOST_FIXTURE_TEST_CASE(LapsedInstanceIsUsedAgainAfterItsRequestHasEnded,
                        Fixture)
{
  this->dispatcher.SetInstances({ { Instance("x") } });
  const std::uint64_t running = this->Submit();
  this->dispatcher.SetInstances({});
  this->time += 250ms;
  this->dispatcher.SetInstances({ { Instance("x") } });
  this->Release(running);
  BOOST_TEST(this->dispatcher.GrantCount(false) == 0U);
  for (int index = 0; index < 3; ++index) {
    BOOST_TEST(this->InstanceOf(this->Submit()) == "x");
  }
  BOOST_TEST(this->dispatcher.GrantCount(false) == 3U);
}

// Guards against the same when the grant expires instead.
BOOST_FIXTURE_TEST_CASE(LapsedInstanceIsUsedAgainAfterItsGrantExpired, Fixture)
{
  this->dispatcher.SetInstances({ { Instance("x") } });
  this->Submit(600ms, 2s);
  this->dispatcher.SetInstances({});
  this->dispatcher.SetInstances({ { Instance("x") } });
  this->time += 4s;
  this->dispatcher.Tick();
  BOOST_TEST(this->dispatcher.GrantCount(false) == 0U);
  BOOST_TEST(this->InstanceOf(this->Submit()) == "x");
}

// Guards against more requests at an instance than it has slots, because those
// that it ran while its entry was missing are not counted.
BOOST_FIXTURE_TEST_CASE(RequestsAtALapsedInstanceStillCount, Fixture)
{
  this->dispatcher.SetInstances({ { Instance("x") } });
  for (int index = 0; index < 3; ++index) {
    this->Submit();
  }
  this->dispatcher.SetInstances({});
  this->dispatcher.SetInstances({ { Instance("x") } });
  const std::uint64_t waiting = this->Submit();
  BOOST_TEST(!this->results.contains(waiting));
  this->Release(1);
  BOOST_TEST(this->InstanceOf(waiting) == "x");
}

// Guards against requests to an instance that pauses, because its pause was
// forgotten when its entry lapsed.
BOOST_FIXTURE_TEST_CASE(PauseOfALapsedInstanceIsKept, Fixture)
{
  this->dispatcher.SetInstances({ { Instance("x") } });
  const std::uint64_t running = this->Submit();
  this->dispatcher.Release(this->results.at(running).grant,
                           AttemptOutcome::Refused,
                           1ms,
                           std::nullopt,
                           ServerNotice{ .pause = 1s });
  this->dispatcher.SetInstances({});
  this->dispatcher.SetInstances({ { Instance("x") } });
  const std::uint64_t refused = this->Submit();
  BOOST_TEST(this->InstanceOf(refused).empty());
}

// Guards against a process that inherits what is known of an earlier process
// with the same id.
BOOST_FIXTURE_TEST_CASE(RestartedInstanceStartsWithoutRequests, Fixture)
{
  this->dispatcher.SetInstances({ { Instance("x") } });
  for (int index = 0; index < 3; ++index) {
    this->Submit();
  }
  BackendInstance restarted = *Instance("x");
  restarted.startedAt = 5;
  this->dispatcher.SetInstances(
    { { std::make_shared<const BackendInstance>(restarted) } });
  for (int index = 0; index < 3; ++index) {
    BOOST_TEST(this->InstanceOf(this->Submit()) == "x");
  }
  for (std::uint64_t id = 1; id <= 3; ++id) {
    this->Release(id);
  }
  BOOST_TEST(this->dispatcher.GrantCount(false) == 3U);
}

// Guards against counts that differ from what they count after any order of
// grants, ends, expiries and changes of the list.
BOOST_FIXTURE_TEST_CASE(CountsMatchTheGrantsAfterAnyOrderOfChanges, Fixture)
{
  std::mt19937_64 random(32);
  const std::vector<std::string> names{ "x", "y", "z" };
  std::map<std::string, std::uint64_t> starts;
  std::set<std::string> listed;
  const auto update = [&] {
    std::vector<DispatchTarget> targets;
    for (const std::string& name : listed) {
      BackendInstance instance = *Instance(name);
      instance.startedAt = starts[name];
      targets.push_back({ std::make_shared<const BackendInstance>(instance) });
    }
    this->dispatcher.SetInstances(targets);
  };
  std::vector<std::uint64_t> running;
  for (int step = 0; step < 20'000; ++step) {
    const std::string& name = names[random() % names.size()];
    switch (random() % 8) {
      case 0:
        listed.insert(name);
        update();
        break;
      case 1:
        listed.erase(name);
        update();
        break;
      case 2:
        ++starts[name];
        update();
        break;
      case 3:
        this->time += std::chrono::milliseconds(random() % 900);
        this->dispatcher.Tick();
        break;
      case 4:
      case 5:
        if (!running.empty()) {
          this->Release(running.back());
          running.pop_back();
        }
        break;
      default:
        this->Submit(600ms, 2s);
        break;
    }
    for (const std::uint64_t id : std::exchange(this->decidedIds, {})) {
      if (this->results.at(id).grant != 0) {
        running.push_back(id);
      }
    }
    std::shuffle(running.begin(), running.end(), random);
    BOOST_REQUIRE(this->dispatcher.GrantCount(false) <=
                  this->dispatcher.GrantCount());
    BOOST_REQUIRE(this->dispatcher.GrantCount(false) <= 3 * names.size());
  }
  // All requests end; every listed instance is idle and gets requests.
  listed = { names.begin(), names.end() };
  update();
  for (const std::uint64_t id : running) {
    this->Release(id);
  }
  this->time += 20s;
  this->dispatcher.Tick();
  BOOST_TEST(this->dispatcher.GrantCount() == 0U);
  BOOST_TEST(this->dispatcher.GrantCount(false) == 0U);
  std::map<std::string, int> counts;
  for (int index = 0; index < 9; ++index) {
    ++counts[this->InstanceOf(this->Submit())];
  }
  for (const std::string& name : names) {
    BOOST_TEST(counts[name] == 3);
  }
}

namespace {

// Report of an instance that refuses a request although it has free slots.
const LoadSample kSampleWithRoom{ .running = 1, .slots = 4 };

} // namespace

// Guards against excluding all instances of a service because each refuses half
// of its requests though it has room (seen on wayfarer-jordan-grown scale-1):
// another request is as likely to be accepted there as before.
BOOST_FIXTURE_TEST_CASE(InstancesThatRefuseHalfStayInUse, Fixture)
{
  this->dispatcher.SetInstances({ { Instance("x") }, { Instance("y") } });
  std::map<std::string, int> refused;
  for (int index = 0; index < 200; ++index) {
    const std::uint64_t id = this->Submit();
    BOOST_REQUIRE(this->results.contains(id));
    const std::string instance = this->InstanceOf(id);
    this->time += 5ms;
    const bool isRefused = ++refused[instance] % 2 == 1;
    this->Release(id,
                  isRefused ? AttemptOutcome::Refused
                            : AttemptOutcome::Answered,
                  isRefused ? 1ms : 100ms,
                  kSampleWithRoom);
  }
  BOOST_TEST(refused["x"] >= 40);
  BOOST_TEST(refused["y"] >= 40);
}

// Guards against repeats that are spent at an instance that refuses everything
// while another accepts it, and against using a full one again at once.
BOOST_FIXTURE_TEST_CASE(AnInstanceThatRefusesAllIsAvoided, Fixture)
{
  this->dispatcher.SetInstances({ { Instance("bad") }, { Instance("good") } });
  int refusedCount = 0;
  for (int index = 0; index < 100; ++index) {
    const std::uint64_t id = this->Submit();
    this->time += 5ms;
    const bool isRefused = this->InstanceOf(id) == "bad";
    refusedCount += isRefused ? 1 : 0;
    this->Release(id,
                  isRefused ? AttemptOutcome::Refused
                            : AttemptOutcome::Answered,
                  isRefused ? 1ms : 100ms,
                  kSampleWithRoom);
  }
  BOOST_TEST(refusedCount <= 10);
  const auto full = Instance("full");
  this->dispatcher.SetInstances({ { full } });
  this->Release(this->Submit(),
                AttemptOutcome::Refused,
                1ms,
                LoadSample{ .running = 4, .waiting = 2, .slots = 4 });
  BOOST_TEST(this->InstanceOf(this->Submit()).empty());
}

// Guards against serving a request that cannot meet its goal before one that
// can, because another route of the service has less work.
BOOST_FIXTURE_TEST_CASE(RequestsAreJudgedByTheWorkOfTheirRoute, Fixture)
{
  this->dispatcher.SetInstances({ { Instance("x") } });
  const auto submit = [this](std::uint64_t aRoute) {
    DispatchRequest request;
    request.id = ++this->nextId;
    request.failureDomain = "a";
    request.goal = this->time + 300ms;
    request.deadline = this->time + 5s;
    request.route = aRoute;
    this->dispatcher.Submit(std::move(request));
    return this->nextId;
  };
  for (int index = 0; index < 100; ++index) {
    this->Release(submit(1), AttemptOutcome::Answered, 100ms);
    if (index % 5 == 0) {
      this->Release(submit(2), AttemptOutcome::Answered, 400ms);
    }
    this->time += 10ms;
  }
  const std::uint64_t first = submit(1);
  submit(1);
  submit(1);
  const std::uint64_t inTime = submit(1);
  const std::uint64_t late = submit(2);
  this->Release(first, AttemptOutcome::Answered, 100ms);
  BOOST_TEST(this->results.contains(inTime));
  BOOST_TEST(!this->results.contains(late));
}
