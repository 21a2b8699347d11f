#pragma once

#include "core/ErrorKind.h"
#include "core/Hooks.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace fireflytrail::routing {

struct BackendInstance;

/** A request that needs an instance of a service. */
struct DispatchRequest
{
  /** Unique among the requests of one dispatcher. */
  std::uint64_t id = 0;
  /** Failure domain of the host that sends the request. */
  std::string failureDomain;
  /** Time by which the request should be answered; a later answer is worth less
   * to the caller. */
  core::TimePoint goal;
  /** Time until which the caller waits for an answer. */
  core::TimePoint deadline;
  /** 0 is the most important. */
  unsigned priority = 0;
  /** Identifies the route of the request; 0 if it does not matter. */
  std::uint64_t route = 0;
  /** Expected size of the request and its answer together, in bytes. */
  std::uint32_t expectedBytes = 0;
  /** Hash of the organisation that the request counts for; 0 if there is none.
   */
  std::uint64_t organisation = 0;
  /** Digest of the request, by which it is recognized when its caller returns
   * after a refusal; 0 if it is not known. */
  std::uint64_t digest = 0;
  /** Whether its caller returns as a refusal told it to. Set by the dispatcher.
   */
  bool isPromised = false;
  /** Fraction of a cold instance's request rate that this dispatcher may use;
   * small if other hosts may send to the instance at the same time. */
  double coldRateShare = 1;
  /** The same for the limit that an instance has named; see `ServerNotice`. */
  double limitShare = 1;
  /** Number of hosts that may send to the same instances without a common
   * dispatcher; 1 if this dispatcher decides for all. */
  std::size_t independentHosts = 1;
  /** Whether this dispatcher receives the requests of all hosts. If not, it
   * measures no instance and uses none on trial, since the minimum interval
   * between measurements and the trial share apply to all hosts together. */
  bool isCentrallyDispatched = false;
  /** Keys of the instances that were already tried and must not be chosen
   * again; see `ServiceDispatcher::KeyOf`. */
  std::vector<std::uint64_t> avoid;
};

/** A dispatcher's decision about a request. */
struct DispatchResult
{
  /** `None` if an instance was granted; otherwise a kind whose outcome is "not
   * run". */
  core::ErrorKind kind = core::ErrorKind::None;
  /** Id of the grant, to be passed to `ServiceDispatcher::Release`; 0 after a
   * refusal. */
  std::uint64_t grant = 0;
  /** Set if and only if an instance was granted. */
  std::shared_ptr<const BackendInstance> instance;
  /** After a refusal: estimated time until there is capacity. */
  std::chrono::milliseconds retryAfter{ 0 };
};

} // namespace fireflytrail::routing
