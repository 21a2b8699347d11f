#pragma once

#include <boost/json/array.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace fireflytrail::soak {

/**
 * The organisations of a run and their keys, of which each configuration adds
 * and withdraws some, and the key of each request. Not thread-safe.
 */
class KeyRing
{
public:
  using TimePoint = std::chrono::steady_clock::time_point;

  /** All keys begin so, and nothing else does. */
  static constexpr std::string_view kKeyPrefix = "soak-key-";

  /** What a request presents. */
  struct Identity
  {
    /** Empty if the request has no key; its route is then public. */
    std::string key;
    /** The organisation that holds the key; empty if none ever did. */
    std::string organisation;
    /** When the first configuration with the key was published. */
    TimePoint addedAt{};
    /** When the first configuration without the key was published. */
    std::optional<TimePoint> withdrawnAt;
    /** Whether each configuration has the key. */
    bool isPermanent = false;
  };

  explicit KeyRing(std::uint64_t aSeed);

  /** Adds a key and withdraws another; call for each new configuration. */
  void Rotate();

  /** Returns the entries of the organisations for the next configuration. */
  boost::json::array Entries() const;

  /** Returns a key that each configuration has. */
  const std::string& PermanentKey() const;

  /** Selects the key of a request: mostly one in force, at times one that was
   * withdrawn or never existed, or none. */
  const Identity& Assign(const std::string& aRequestId);

  /** Returns what a request presents, as known now; nothing if `Assign` was not
   * called for it. */
  std::optional<Identity> IdentityOf(const std::string& aRequestId) const;

private:
  /** Adds a key to an organisation. */
  void Add(const std::string& aOrganisation, bool aIsPermanent);

  std::mt19937_64 random;
  /** All keys so far, permanent ones first. */
  std::vector<Identity> keys;
  std::map<std::string, Identity> withoutKeyInForce;
  /** By request id: index in `keys`. */
  std::map<std::string, std::size_t> assigned;
};

} // namespace fireflytrail::soak
