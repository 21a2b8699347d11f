#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace fireflytrail::store {

/** Kind of one request to the platform. */
enum class StoreRequestKind : std::uint8_t
{
  Read,
  Write,
  Watch,
  Hosts,
  /** A GET request for `target`. */
  RawRead,
  /** A PUT request that sends `body` to `target`. */
  RawWrite,
};

/** One request to the platform. */
struct StoreRequest
{
  StoreRequestKind kind = StoreRequestKind::Read;
  /** Key of the object; empty for `Hosts`. */
  std::string key;
  /** Expected version of a write; version that a watch starts from; version of
   * the host list that the client has, or 0. */
  std::uint64_t version = 0;
  /** Path and query of a `RawRead` or `RawWrite`. */
  std::string target;
  /** Body of a write. */
  std::string body;
  /** How long the platform may hold a watch open. */
  std::chrono::milliseconds watchTime{ 0 };
  /** Timeout of the whole request. */
  std::chrono::milliseconds timeout{ 0 };
};

} // namespace fireflytrail::store
