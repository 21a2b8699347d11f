#pragma once

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace fireflytrail::moves {

/** Checks whether the other failure domains can carry the load of one. */
class DomainCapacity
{
public:
  /** Slots of one service's live servers in one failure domain. */
  struct Slots
  {
    double total = 0;
    /** Slots in use, as an average over the last seconds. */
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
    /** Slots that stay in the other domains that are in. */
    double remaining = 0;
    /** Slots that may be in use of those. */
    double allowed = 0;
    bool isEnough = false;

    /** Returns the figures as one line of text. Thread-safe. */
    std::string ToString() const;
  };

  /** Result of a check. */
  struct Report
  {
    bool isEnough = true;
    std::vector<ServiceResult> results;

    /** Returns one line for each service. Thread-safe. */
    std::string ToString() const;
  };

  /** Part of the slots that may be in use, so that load shifting within
   * milliseconds still finds a free slot. */
  static constexpr double kMaxUtilization = 0.8;

  /**
   * Checks taking a domain out while others may be out already. Each service
   * must have enough slots left. Thread-safe.
   */
  static Report Check(const Load& aLoad,
                      std::string_view aFailureDomain,
                      const std::set<std::string>& aDomainsOut);
};

} // namespace fireflytrail::moves
