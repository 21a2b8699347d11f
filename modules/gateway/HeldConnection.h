#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <span>

namespace fireflytrail::gateway {

/** What a connection holds and has achieved, to decide which one goes first
 * when there is too little room. */
struct HeldConnection
{
  /** Bytes of the request that is being read. */
  std::size_t bytes = 0;
  /** Whether an exchange on it was completed. */
  bool hasServed = false;
  /** When its last request, or the connection itself, began. */
  std::chrono::steady_clock::time_point lastBegin;
  /** When the last part of the request that is being read arrived. */
  std::chrono::steady_clock::time_point lastPart;
  /** Connections that its address has, with this one. */
  std::size_t ofAddress = 1;

  /**
   * Returns the index of the connection to close so that another one finds a
   * place, nothing if there is none: of the address with most connections, the
   * oldest of those that have completed no exchange, else the one whose last
   * request is the longest ago. Thread-safe.
   */
  static std::optional<std::size_t> SelectOldest(
    std::span<const HeldConnection> aConnections);

  /**
   * Returns the index of the connection whose request takes most memory for
   * least progress: most bytes multiplied by the time without a part. Those
   * that hold nothing, or had a part in the last `aMinStall`, are not selected.
   * Thread-safe.
   */
  static std::optional<std::size_t> SelectStalled(
    std::span<const HeldConnection> aConnections,
    std::chrono::steady_clock::time_point aNow,
    std::chrono::milliseconds aMinStall);
};

} // namespace fireflytrail::gateway
