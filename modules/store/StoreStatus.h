#pragma once

#include <cstdint>
#include <string_view>

namespace fireflytrail::store {

/** How a store operation ended. */
enum class StoreStatus : std::uint8_t
{
  Ok,
  /** The object does not exist. */
  NotFound,
  /** Nothing newer appeared during the watch. */
  NotModified,
  /** Another writer was first; the version is the winner's. */
  Conflict,
  /** The store refused the request itself, for example a value too large. */
  Refused,
  /** The store could not be reached in time; nothing was written. */
  Unavailable,
  /** The store answers with an older version than was seen before. */
  Stale,
  /** The write may or may not have taken effect. */
  Unknown,
};

/** Returns the name of a status in snake case. Thread-safe. */
constexpr std::string_view
NameOf(StoreStatus aStatus)
{
  switch (aStatus) {
    case StoreStatus::Ok:
      return "ok";
    case StoreStatus::NotFound:
      return "not_found";
    case StoreStatus::NotModified:
      return "not_modified";
    case StoreStatus::Conflict:
      return "conflict";
    case StoreStatus::Refused:
      return "refused";
    case StoreStatus::Unavailable:
      return "unavailable";
    case StoreStatus::Stale:
      return "stale";
    case StoreStatus::Unknown:
      break;
  }
  return "unknown";
}

} // namespace fireflytrail::store
