#pragma once

#include "configuration/Checked.h"
#include "configuration/MovesSettings.h"
#include "configuration/PrimaryCriterion.h"
#include "configuration/ServiceSettings.h"

#include <chrono>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace fireflytrail::configuration {

/** The operators' text: regions, services with their calls, and settings. */
struct OperatorText
{
  /**
   * Maximum accepted length of a text in bytes. JSON escaping at most doubles
   * the usual characters of a text, so the desired state stays below the
   * store's limit of 1 MB.
   */
  static constexpr std::size_t kMaxBytes = 400'000;

  std::string name;
  PrimaryCriterion primaryCriterion = PrimaryCriterion::Latency;
  /** Failure domains of each region. */
  std::map<std::string, std::vector<std::string>> regions;
  std::map<std::string, ServiceSettings> services;
  MovesSettings moves;

  /**
   * Parses and checks a text. On failure the result holds every error found,
   * in line order. Thread-safe.
   */
  static Checked<OperatorText> Parse(std::string_view aText);

  /** Returns a service by name, or null. Thread-safe. */
  const ServiceSettings* FindService(std::string_view aName) const;

  /** Returns the failure domains of all regions. Thread-safe. */
  std::vector<std::string> FailureDomains() const;

  /** Returns the region of a failure domain, or an empty string. Thread-safe.
   */
  std::string RegionOf(std::string_view aFailureDomain) const;

  /** Returns the largest deadline of all calls. Thread-safe. */
  std::chrono::milliseconds LargestDeadline() const;

  bool operator==(const OperatorText&) const = default;
};

} // namespace fireflytrail::configuration
