#pragma once

#include "usage/Figures.h"

#include <cstddef>
#include <map>
#include <set>
#include <string_view>

namespace fireflytrail::usage {

/**
 * The requests that servers began to run for one lifetime of a daemon, by
 * window and organisation. Counts only grow, so that two copies merge in any
 * order, and any number of times, by taking the greater count of each.
 *
 * Bounded: the newest `kMaxWindows` windows with `kMaxOrganisations`
 * organisations each. Not thread-safe.
 */
class UsageCounters
{
public:
  /** Windows that are kept while they cannot be reported. */
  static constexpr std::size_t kMaxWindows = 24;
  static constexpr std::size_t kMaxOrganisations = 4096;

  /** Adds a request. Returns false if the bounds leave no room for it. */
  bool Add(WindowNumber aWindow, std::string_view aOrganisation);

  /** Raises a count to at least `aCount`. Returns false if the bounds leave no
   * room for it. */
  bool Raise(WindowNumber aWindow,
             std::string_view aOrganisation,
             std::uint64_t aCount);

  /** States that no requests will be added to a window. */
  void MarkComplete(WindowNumber aWindow);

  bool IsComplete(WindowNumber aWindow) const
  {
    return this->complete.contains(aWindow);
  }

  /** Drops the windows up to one, which counts nothing from now on. */
  void Forget(WindowNumber aWindow);

  const std::map<WindowNumber, Figures>& Windows() const
  {
    return this->windows;
  }

private:
  /** Returns the figures of a window, or null if it is no longer kept. */
  Figures* FindWindow(WindowNumber aWindow);
  /** Returns the count, or null if the bounds leave no room for it. */
  std::uint64_t* Find(WindowNumber aWindow, std::string_view aOrganisation);

  std::map<WindowNumber, Figures> windows;
  std::set<WindowNumber> complete;
  WindowNumber forgottenThrough = 0;
};

} // namespace fireflytrail::usage
