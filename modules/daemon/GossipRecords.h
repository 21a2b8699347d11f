#pragma once

#include "calls/CrashGuard.h"
#include "core/Hooks.h"
#include "routing/HealthObservation.h"

#include <array>
#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fireflytrail::daemon {

/**
 * Publishes server observations and crash entries to the other daemons in a few
 * urgent gossip records of bounded size, and parses such records. Each record
 * repeats the recent items of its group, because a value that is overwritten
 * before it was sent would otherwise be lost. Use on the control thread only;
 * the static functions are thread-safe.
 */
class GossipRecords
{
public:
  /** Writes a record of this daemon and pushes it to peers at once. */
  using PublishFunction =
    std::function<void(std::string_view aKey, std::string_view aValue)>;

  /** Number of records over which the servers are distributed. */
  static constexpr std::size_t kHealthRecordCount = 8;
  /** How long an observation is repeated in later values of its record. */
  static constexpr std::chrono::seconds kRepeatTime{ 5 };
  static constexpr std::size_t kMaxCrashEntries = 64;
  static constexpr std::chrono::milliseconds kPublishInterval{ 100 };

  /** Key of the record that lists the services a daemon has no calls for. */
  static constexpr std::string_view kIdleKey = "idle";

  GossipRecords(core::NowFunction aNow, PublishFunction aPublish);

  /** Queues an observation, which a following `Flush` publishes. */
  void Publish(const routing::HealthObservation& aObservation);

  /**
   * Publishes the records that have new observations. Call every few
   * milliseconds. A record is published at most once per `kPublishInterval`,
   * because many servers change at the same time and each publication is sent
   * to several peers.
   */
  void Flush();

  /** Publishes a crash entry at once, together with recent ones. */
  void Publish(const calls::CrashEntry& aEntry);

  /** Returns the observations in a health record; none if the key is of another
   * record. Malformed rows are skipped. */
  static std::vector<routing::HealthObservation> ParseHealth(
    std::string_view aKey,
    std::string_view aValue);

  /** Returns the entries in the crash record; none if the key is of another
   * record. Malformed rows are skipped. */
  static std::vector<calls::CrashEntry> ParseCrashes(std::string_view aKey,
                                                     std::string_view aValue);

  /** Returns the value of the record under `kIdleKey`. */
  static std::string FormatIdle(const std::vector<std::string>& aServices);

  /** Returns the services in such a value; none if it is malformed. */
  static std::vector<std::string> ParseIdle(std::string_view aValue);

private:
  struct TimedObservation
  {
    routing::HealthObservation observation;
    core::TimePoint at;
  };
  struct TimedCrash
  {
    calls::CrashEntry entry;
    core::TimePoint at;
  };

  core::NowFunction now;
  PublishFunction publish;
  std::array<std::map<std::string, TimedObservation>, kHealthRecordCount>
    recent;
  std::array<bool, kHealthRecordCount> isChanged{};
  std::array<core::TimePoint, kHealthRecordCount> publishedAt{};
  std::deque<TimedCrash> crashes;
};

} // namespace fireflytrail::daemon
