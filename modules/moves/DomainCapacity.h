#pragma once

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace fireflytrail::moves {

/**
 * Checks whether the remaining failure domains can carry the load of a domain
 * that is to be taken out.
 */
class DomainCapacity
{
public:
  /** Concurrency slots of one service's live servers in one failure domain. */
  struct Slots
  {
    double total = 0;
    /** Slots in use, averaged over the last few seconds. */
    double busy = 0;
  };

  /** Slots by service and failure domain. */
  using Load = std::map<std::string, std::map<std::string, Slots>>;

  /** Result for one service. */
  struct ServiceResult
  {
    std::string service;
    /** Slots in use in all failure domains. */
    double needed = 0;
    /** Slots in the domains that stay in service. */
    double remaining = 0;
    /** Part of `remaining` that may be in use; see `kMaxUtilization`. */
    double allowed = 0;
    bool isEnough = false;

    /** Returns the result as one line of text. Thread-safe. */
    std::string ToString() const;
  };

  /** Result for all services. */
  struct Report
  {
    bool isEnough = true;
    std::vector<ServiceResult> results;

    /** Returns one line for each service. Thread-safe. */
    std::string ToString() const;
  };

  /**
   * Highest permitted slot utilization. The rest is headroom, so that load that
   * shifts within milliseconds still finds a free slot.
   */
  static constexpr double kMaxUtilization = 0.8;

  /**
   * Checks whether `aFailureDomain` can be taken out in addition to
   * `aDomainsOut`: for each service, the slots in use must fit into the
   * remaining slots at a utilization of at most `kMaxUtilization`. A service
   * without remaining slots fails the check even when idle. Thread-safe.
   */
  static Report Check(const Load& aLoad,
                      std::string_view aFailureDomain,
                      const std::set<std::string>& aDomainsOut);
};

} // namespace fireflytrail::moves
