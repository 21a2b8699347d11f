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
  /** There is no newer version; for a watch, none appeared before it ended. */
  NotModified,
  /** Another client wrote the object first; the result has its version. */
  Conflict,
  /** The store refused the request, for example because the value is too
   * large, or its host list could not be parsed. */
  Refused,
  /** The store could not be reached in time; nothing was written. */
  Unavailable,
  /** The store returned a version that is older than one seen before. */
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
