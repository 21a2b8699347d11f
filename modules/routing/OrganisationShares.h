#pragma once

#include "core/Hooks.h"

#include <array>
#include <chrono>
#include <cstdint>

namespace fireflytrail::routing {

/**
 * Counts how much of a service each organisation uses: the work that it has
 * waiting and the work that it was granted lately. It answers this load
 * pattern: one of many organisations sends a burst, and the others must keep
 * their share; what is refused then belongs to the one that uses most.
 *
 * Organisations are counted in a fixed number of cells, chosen by the hash of
 * their name, so that memory and time do not grow with their number. Two that
 * share a cell are treated as one.
 *
 * Not thread-safe.
 */
class OrganisationShares
{
public:
  /** Counts work of an organisation that begins to wait, or, if negative, that
   * no longer waits. */
  void AddWaiting(std::uint64_t aOrganisation, std::chrono::nanoseconds aWork);

  /** Counts work of an organisation that is granted an instance. */
  void AddGranted(std::uint64_t aOrganisation,
                  std::chrono::nanoseconds aWork,
                  core::TimePoint aNow);

  /** Returns the work that an organisation has waiting or was granted lately;
   * 0 without an organisation. */
  std::chrono::nanoseconds UsageOf(std::uint64_t aOrganisation,
                                   core::TimePoint aNow) const;

private:
  static constexpr std::size_t kCells = 1024;

  struct Cell
  {
    std::chrono::nanoseconds waiting{ 0 };
    std::chrono::nanoseconds granted{ 0 };
    core::TimePoint grantedAt{};

    std::chrono::nanoseconds GrantedAt(core::TimePoint aNow) const;
  };

  Cell& CellOf(std::uint64_t aOrganisation)
  {
    return this->cells[aOrganisation % kCells];
  }

  std::array<Cell, kCells> cells;
};

} // namespace fireflytrail::routing
