#pragma once

#include <algorithm>
#include <cstdint>

namespace fireflytrail::store {

/*
 * A store that came back from an older copy gives its revisions out again. A
 * revision is therefore held together with the era of the store that it belongs
 * to (see `StoreResponse::era`), in one number, so that whatever is ordered by
 * revisions is ordered by the era first. Without an era it is the store's own
 * number.
 *
 * All functions may be called from any thread and do not fail.
 */

/** Bits of a held revision below its era. */
constexpr unsigned kRevisionBits = 52;

/** The greatest revision of the store that can be held, and the greatest era;
 * greater ones count as these. */
constexpr std::uint64_t kMaxRevision =
  (std::uint64_t{ 1 } << kRevisionBits) - 1;
constexpr std::uint64_t kMaxEra =
  (std::uint64_t{ 1 } << (64U - kRevisionBits)) - 1;

/** Returns the number that stands for a revision of the store in an era. */
constexpr std::uint64_t
JoinRevision(std::uint64_t aEra, std::uint64_t aRevision)
{
  return (std::min(aEra, kMaxEra) << kRevisionBits) |
         std::min(aRevision, kMaxRevision);
}

/** Returns the era of a held revision; 0 if the store stated none. */
constexpr std::uint64_t
EraOf(std::uint64_t aHeldRevision)
{
  return aHeldRevision >> kRevisionBits;
}

/** Returns a held revision as the store states it and accepts it. */
constexpr std::uint64_t
StatedRevision(std::uint64_t aHeldRevision)
{
  return aHeldRevision & kMaxRevision;
}

} // namespace fireflytrail::store
