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
 * Spreads server observations and crash entries through a few urgent gossip
 * records of bounded size. Each record repeats the recent items of its group,
 * so that one that is overwritten before it was sent is not lost. Belongs to
 * the control thread.
 */
class GossipRecords
{
public:
  /** Writes an own record and pushes it at once. */
  using PublishFunction =
    std::function<void(std::string_view aKey, std::string_view aValue)>;

  /** Servers are spread over this many records. */
  static constexpr std::size_t kHealthRecordCount = 8;
  /** Time for which an observation is repeated. */
  static constexpr std::chrono::seconds kRepeatTime{ 5 };
  static constexpr std::size_t kMaxCrashEntries = 64;
  static constexpr std::chrono::milliseconds kPublishInterval{ 100 };

  /** Key of the record with the services that a daemon is idle for. */
  static constexpr std::string_view kIdleKey = "idle";

  GossipRecords(core::NowFunction aNow, PublishFunction aPublish);

  /** Takes an observation; it is published by the next `Flush`. */
  void Publish(const routing::HealthObservation& aObservation);

  /**
   * Publishes the records with new observations. Call every few milliseconds.
   * A record is published at most every `kPublishInterval`: many servers change
   * at the same time, and each publication costs messages to several peers.
   */
  void Flush();

  void Publish(const calls::CrashEntry& aEntry);

  /** Returns the observations of a record; none if it is another record. */
  static std::vector<routing::HealthObservation> ParseHealth(
    std::string_view aKey,
    std::string_view aValue);

  /** Returns the crash entries of a record; none if it is another record. */
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
