#pragma once

#include "core/Hooks.h"
#include "store/ObjectRecord.h"

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace fireflytrail::proxy {

/**
 * Holds back what a store that came back from an older copy would undo. Its
 * first list lacks orders that were acknowledged and are in force, and shows
 * others that were replaced since. The operators write their orders again;
 * until then, or until the time for that is over, the daemon keeps what it
 * knew.
 *
 * Performs no I/O. Not thread-safe.
 */
class OlderCopyHold
{
public:
  /** Time in which the operators write their orders again. */
  static constexpr std::chrono::seconds kWait{ 10 };

  /** `aNow` must be set. */
  explicit OlderCopyHold(core::NowFunction aNow);

  /** Holds back an object or its deletion as the copy shows it. Replaces one of
   * the same name. */
  void Hold(store::ObjectRecord aObject);

  /** Records that an object was written after the return of the store. Returns
   * whether something was held back for it, which is dropped. */
  bool Drop(const std::string& aName);

  /** Returns when `TakeDue` next returns something, if anything is held back.
   */
  std::optional<core::TimePoint> NextDue() const;

  /** Removes and returns what has been held back for the whole time. */
  std::vector<store::ObjectRecord> TakeDue();

private:
  struct Held
  {
    core::TimePoint until;
    store::ObjectRecord object;
  };

  core::NowFunction now;
  std::map<std::string, Held, std::less<>> held;
};

} // namespace fireflytrail::proxy
