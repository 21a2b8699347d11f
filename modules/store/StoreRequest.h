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
  /** A read of `target` as it is. */
  RawRead,
  /** A write of `body` to `target` as it is. */
  RawWrite,
};

/** One request to the platform. */
struct StoreRequest
{
  StoreRequestKind kind = StoreRequestKind::Read;
  /** Key of the object; empty for `Hosts`. */
  std::string key;
  /** Expected version of a write; version that a watch starts from. */
  std::uint64_t version = 0;
  /** Path and query of a raw request. */
  std::string target;
  /** Body of a write. */
  std::string body;
  /** How long the platform may hold a watch. */
  std::chrono::milliseconds watchTime{ 0 };
  /** How long the whole request may take. */
  std::chrono::milliseconds timeout{ 0 };
};

} // namespace fireflytrail::store
