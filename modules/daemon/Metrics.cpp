#include "daemon/Metrics.h"

#include "core/ErrorTable.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/text_serializer.h>

#include <fmt/format.h>

namespace fireflytrail::daemon {

namespace {

// Bucket bounds in seconds, dense around the target of 0.32 ms for the latency
// that the daemon adds and around usual service times.
const prometheus::Histogram::BucketBoundaries kDurationBounds{
  0.0002, 0.0004, 0.0008, 0.0016, 0.0032, 0.0064, 0.0128,
  0.0256, 0.0512, 0.1024, 0.25,   0.5,    1.0,    2.5
};

} // namespace

Metrics::Metrics()
  : durations(prometheus::BuildHistogram()
                .Name("fireflytrail_call_seconds")
                .Help("Time from the whole request to the whole answer")
                .Register(this->registry))
  , errors(prometheus::BuildCounter()
             .Name("fireflytrail_call_errors_total")
             .Help("Calls that ended with an error kind")
             .Register(this->registry))
  , late(prometheus::BuildCounter()
           .Name("fireflytrail_calls_late_total")
           .Help("Calls that were answered later than their latency goal")
           .Register(this->registry))
  , waiting(prometheus::BuildGauge()
              .Name("fireflytrail_calls_waiting")
              .Help("Calls that wait for a server")
              .Register(this->registry))
{
}

Metrics::~Metrics() = default;

std::string
Metrics::Text() const
{
  return prometheus::TextSerializer().Serialize(this->registry.Collect());
}

void
Metrics::Count(const std::string& aName, double aAmount)
{
  prometheus::BuildCounter()
    .Name("fireflytrail_" + aName)
    .Register(this->registry)
    .Add({})
    .Increment(aAmount);
}

void
Metrics::Set(const std::string& aName, double aValue)
{
  prometheus::BuildGauge()
    .Name("fireflytrail_" + aName)
    .Register(this->registry)
    .Add({})
    .Set(aValue);
}

CallMetrics::CallMetrics(Metrics& aMetrics)
  : metrics(aMetrics)
{
}

CallMetrics::~CallMetrics() = default;

void
CallMetrics::Record(const std::string& aService,
                    const std::string& aCall,
                    const std::string& aVersion,
                    core::ErrorKind aKind,
                    std::chrono::steady_clock::duration aDuration)
{
  this->key.clear();
  this->key.append(aService).append(1, '/').append(aCall);
  this->key.append(1, '/').append(aVersion);
  prometheus::Histogram*& histogram = this->durations[this->key];
  if (histogram == nullptr) {
    histogram = &this->metrics.durations.Add(
      { { "service", aService }, { "call", aCall }, { "version", aVersion } },
      kDurationBounds);
  }
  histogram->Observe(std::chrono::duration<double>(aDuration).count());
  if (aKind == core::ErrorKind::None) {
    return;
  }
  const std::string kind(core::ErrorTable::RowOf(aKind).name);
  this->key.append(1, '/').append(kind);
  prometheus::Counter*& counter = this->errors[this->key];
  if (counter == nullptr) {
    counter = &this->metrics.errors.Add(
      { { "service", aService }, { "call", aCall }, { "kind", kind } });
  }
  counter->Increment();
}

void
CallMetrics::RecordLate(const std::string& aService, const std::string& aCall)
{
  this->metrics.late.Add({ { "service", aService }, { "call", aCall } })
    .Increment();
}

void
CallMetrics::AddWaiting(const std::string& aService,
                        const std::string& aCall,
                        int aChange)
{
  this->key.clear();
  this->key.append(aService).append(1, '/').append(aCall);
  prometheus::Gauge*& gauge = this->waiting[this->key];
  if (gauge == nullptr) {
    gauge = &this->metrics.waiting.Add(
      { { "service", aService }, { "call", aCall } });
  }
  gauge->Increment(aChange);
}

} // namespace fireflytrail::daemon
