#include "moves/EvidenceRecorder.h"

#include "core/Hash.h"

#include <array>
#include <cassert>

namespace fireflytrail::moves {

namespace {

/**
 * The smallest number of calls whose 95 % quantile lies below their maximum.
 */
constexpr std::uint64_t kMinBaselineCalls = 20;

/**
 * Length of the intervals that are assigned to time groups. The speed of
 * servers changes every 5 to 50 ms, so that a cluster of slow calls rarely
 * spans two intervals.
 */
constexpr std::chrono::milliseconds kGroupInterval{ 100 };

std::uint64_t
HashOfInterval(core::WallTimePoint aNow)
{
  const std::int64_t interval = aNow.time_since_epoch() / kGroupInterval;
  std::array<char, sizeof(interval)> bytes{};
  for (std::size_t index = 0; index < bytes.size(); ++index) {
    bytes[index] = static_cast<char>(interval >> (8 * index));
  }
  // Hashed, so that periodic load does not always fall into the same group.
  return core::HashOf({ bytes.data(), bytes.size() });
}

void
Count(CallCounters& aCounters,
      bool aFailure,
      bool aTimed,
      bool aSlow,
      bool aVerySlow)
{
  aCounters += { 1,
                 aFailure ? 1U : 0U,
                 aTimed ? 1U : 0U,
                 aSlow ? 1U : 0U,
                 aVerySlow ? 1U : 0U };
}

} // namespace

void
EvidenceRecorder::Record(std::size_t aWindow,
                         core::WallTimePoint aNow,
                         const Observation& aObservation)
{
  assert(aWindow < Evidence::kWindows);
  EvidenceWindow& window = this->windows[aWindow];
  if (!window.routes.contains(aObservation.call) &&
      window.routes.size() >= EvidenceWindow::kMaxRoutes) {
    return;
  }
  RouteEvidence& route = window.routes[aObservation.call];
  if (!route.domains.contains(aObservation.failureDomain) &&
      route.domains.size() >= EvidenceWindow::kMaxDomains) {
    return;
  }
  Baseline& baseline = this->baselines[aObservation.call];
  UpdateBounds(baseline, aWindow);
  const bool isTimed =
    aObservation.duration.has_value() && baseline.slowBound.has_value();
  const bool isSlow = isTimed && *aObservation.duration > *baseline.slowBound;
  const bool isVerySlow =
    isTimed && *aObservation.duration > *baseline.verySlowBound;
  Count(route.domains[aObservation.failureDomain].Of(aObservation.side),
        aObservation.isFailure,
        isTimed,
        isSlow,
        isVerySlow);
  const std::uint64_t hash = HashOfInterval(aNow);
  if (aObservation.side == ComparedVersion::Old) {
    Count(route.oldGroups[hash % RouteEvidence::kGroups],
          false,
          isTimed,
          isSlow,
          isVerySlow);
    if (aObservation.duration) {
      baseline.durations.Add(*aObservation.duration);
    }
  } else {
    route.newCallsSoFar = ++baseline.newCalls;
    if (aObservation.isFailure) {
      route.newFailureGroups |= 1U << hash % RouteEvidence::kFailureGroups;
    }
  }
  ++window.sequence;
}

EvidenceWindow
EvidenceRecorder::Window(std::size_t aWindow) const
{
  assert(aWindow < Evidence::kWindows);
  EvidenceWindow snapshot = this->windows[aWindow];
  snapshot.window = aWindow;
  return snapshot;
}

void
EvidenceRecorder::UpdateBounds(Baseline& aBaseline, std::size_t aWindow)
{
  const bool isNewWindow = aWindow != aBaseline.window;
  if (aBaseline.durations.Count() < kMinBaselineCalls ||
      (aBaseline.slowBound && !isNewWindow)) {
    return;
  }
  aBaseline.window = aWindow;
  aBaseline.slowBound = aBaseline.durations.Quantile(0.75);
  aBaseline.verySlowBound = aBaseline.durations.Quantile(0.95);
}

} // namespace fireflytrail::moves
