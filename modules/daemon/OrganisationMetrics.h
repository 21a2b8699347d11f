#pragma once

#include "core/ErrorKind.h"

#include <cstddef>
#include <memory>
#include <string>
#include <unordered_map>

namespace prometheus {
class Counter;
template<typename T>
class Family;
}

namespace fireflytrail::daemon {

class Metrics;

/**
 * Counts requests by organisation. The first `kMaxNames` names have series of
 * their own; all others are counted together under `kOtherName`. Not
 * thread-safe.
 */
class OrganisationMetrics
{
public:
  static constexpr std::size_t kMaxNames = 128;
  static constexpr const char* kOtherName = "other";

  /** `aMetrics` must outlive this object. */
  explicit OrganisationMetrics(Metrics& aMetrics);
  ~OrganisationMetrics();
  OrganisationMetrics(const OrganisationMetrics&) = delete;
  OrganisationMetrics& operator=(const OrganisationMetrics&) = delete;

  /** Records the end of a request; ignores those of no organisation, whose name
   * is empty. */
  void Record(const std::string& aOrganisation, core::ErrorKind aKind);

private:
  struct Series
  {
    prometheus::Counter* requests = nullptr;
    prometheus::Counter* errors = nullptr;
  };

  Series& SeriesOf(const std::string& aOrganisation);

  prometheus::Family<prometheus::Counter>& requests;
  prometheus::Family<prometheus::Counter>& errors;
  std::unordered_map<std::string, Series> seriesByName;
};

} // namespace fireflytrail::daemon
