#pragma once

#include <cstdint>
#include <string_view>

namespace fireflytrail::core {

/**
 * Returns the XXH3 64-bit hash of the bytes, the same on every host.
 * Thread-safe.
 */
std::uint64_t
HashOf(std::string_view aBytes, std::uint64_t aSeed = 0);

/**
 * Returns the rendezvous weight of a candidate for a key: the candidate with
 * the highest weight owns the key. Thread-safe.
 */
std::uint64_t
RendezvousWeight(std::string_view aKey, std::string_view aCandidate);

} // namespace fireflytrail::core
