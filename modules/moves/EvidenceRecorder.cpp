#include "moves/EvidenceRecorder.h"

#include "core/Hash.h"

#include <array>
#include <cassert>

namespace fireflytrail::moves {

namespace {

/** The smallest number of calls with a 95 % quantile below its largest one. */
constexpr std::uint64_t kMinReferenceCalls = 20;

/** Servers change their speed every 5 to 50 ms, so that a cluster of slow
 * calls rarely spans two of these. */
constexpr std::chrono::milliseconds kGroupTime{ 100 };

std::uint64_t
HashOfMoment(core::WallTimePoint aNow)
{
  const std::int64_t tick = aNow.time_since_epoch() / kGroupTime;
  std::array<char, sizeof(tick)> bytes{};
  for (std::size_t index = 0; index < bytes.size(); ++index) {
    bytes[index] = static_cast<char>(tick >> (8 * index));
  }
  // Hashed, so that periodic load does not always meet the same group.
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
  Reference& reference = this->references[aObservation.call];
  UpdateBounds(reference, aWindow);
  const bool isTimed =
    aObservation.duration.has_value() && reference.slow.has_value();
  const bool isSlow = isTimed && *aObservation.duration > *reference.slow;
  const bool isVerySlow =
    isTimed && *aObservation.duration > *reference.verySlow;
  Count(route.domains[aObservation.failureDomain].Of(aObservation.side),
        aObservation.isFailure,
        isTimed,
        isSlow,
        isVerySlow);
  const std::uint64_t moment = HashOfMoment(aNow);
  if (aObservation.side == VersionSide::Old) {
    Count(route.oldGroups[moment % RouteEvidence::kGroups],
          false,
          isTimed,
          isSlow,
          isVerySlow);
    if (aObservation.duration) {
      reference.durations.Add(*aObservation.duration);
    }
  } else {
    route.newCallsSoFar = ++reference.newCalls;
    if (aObservation.isFailure) {
      route.newFailureGroups |= 1U << moment % RouteEvidence::kFailureGroups;
    }
  }
  ++window.sequence;
}

EvidenceWindow
EvidenceRecorder::Window(std::size_t aWindow) const
{
  assert(aWindow < Evidence::kWindows);
  EvidenceWindow state = this->windows[aWindow];
  state.window = aWindow;
  return state;
}

void
EvidenceRecorder::UpdateBounds(Reference& aReference, std::size_t aWindow)
{
  const bool isNewWindow = aWindow != aReference.window;
  if (aReference.durations.Count() < kMinReferenceCalls ||
      (aReference.slow && !isNewWindow)) {
    return;
  }
  aReference.window = aWindow;
  aReference.slow = aReference.durations.Quantile(0.75);
  aReference.verySlow = aReference.durations.Quantile(0.95);
}

} // namespace fireflytrail::moves
