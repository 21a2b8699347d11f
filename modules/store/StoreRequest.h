#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

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
  /** A POST request that sends `body` to `target`. */
  RawPost,
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
  /** Further header fields of a `RawPost`. */
  std::vector<std::pair<std::string, std::string>> fields;
  /** Optional: asked directly before the first byte is sent; if it returns
   * false, the request ends as not sent. */
  std::function<bool()> maySend;
  /** Whether a request that ends without an answer resets its connection, so
   * that nothing of it is delivered later. */
  bool isResetOnEnd = false;
  /** How long the platform may hold a watch open. */
  std::chrono::milliseconds watchTime{ 0 };
  /** Timeout of the whole request. */
  std::chrono::milliseconds timeout{ 0 };
};

} // namespace fireflytrail::store
