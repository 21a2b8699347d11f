#pragma once

#include "core/ErrorKind.h"

#include <prometheus/registry.h>

#include <chrono>
#include <memory>
#include <string>
#include <unordered_map>

namespace prometheus {
class Counter;
class Gauge;
class Histogram;
}

namespace fireflytrail::daemon {

/**
 * The metrics of one daemon. Series are created on first use and never removed;
 * the operators' text bounds the number of label values.
 */
class Metrics
{
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  /** Returns all metrics in the Prometheus text format. Thread-safe. */
  std::string Text() const;

  /** Adds to a named counter without labels. Thread-safe. */
  void Count(const std::string& aName, double aAmount = 1.0);

  /** Sets a named gauge without labels. Thread-safe. */
  void Set(const std::string& aName, double aValue);

private:
  friend class CallMetrics;
  friend class OrganisationMetrics;

  prometheus::Registry registry;
  prometheus::Family<prometheus::Histogram>& durations;
  prometheus::Family<prometheus::Counter>& errors;
  prometheus::Family<prometheus::Counter>& late;
  prometheus::Family<prometheus::Gauge>& waiting;
};

/**
 * Caches the metric series of calls for one traffic thread, so that recording
 * a call needs no lookup by labels. Not thread-safe.
 */
class CallMetrics
{
public:
  /** `aMetrics` must outlive this object. */
  explicit CallMetrics(Metrics& aMetrics);
  ~CallMetrics();

  /** Records the end of one call. */
  void Record(const std::string& aService,
              const std::string& aCall,
              const std::string& aVersion,
              core::ErrorKind aKind,
              std::chrono::steady_clock::duration aDuration);

  /** Records that a call was answered later than its latency goal. */
  void RecordLate(const std::string& aService, const std::string& aCall);

  /** Adds to the number of calls that wait for a server. */
  void AddWaiting(const std::string& aService,
                  const std::string& aCall,
                  int aChange);

private:
  Metrics& metrics;
  std::unordered_map<std::string, prometheus::Histogram*> durations;
  std::unordered_map<std::string, prometheus::Counter*> errors;
  std::unordered_map<std::string, prometheus::Gauge*> waiting;
  std::string key;
};

} // namespace fireflytrail::daemon
