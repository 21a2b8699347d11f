#pragma once

#include "core/ErrorKind.h"
#include "core/Hooks.h"

#include <chrono>
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
  /** Until then an answer has its full value. */
  core::TimePoint goal;
  /** Until then the caller waits. */
  core::TimePoint deadline;
  /** 0 is the most important. */
  unsigned priority = 0;
  /** Tells routes apart; 0 if it does not matter. */
  std::uint64_t route = 0;
  /** Expected size of the request and its answer. */
  std::uint32_t expectedBytes = 0;
  /** Part of a cold instance's rate that may be used for it: small if other
   * hosts may decide at the same time. */
  double coldShare = 1;
  /** Whether the requests of all hosts pass this dispatcher. If not, no
   * instance is measured and none on trial is used, so that the sums over hosts
   * hold. */
  bool isForAllHosts = false;
  /** Keys of the instances that were tried; see `ServiceDispatcher::KeyOf`. */
  std::vector<std::uint64_t> avoid;
};

/** What a dispatcher decided about a request. */
struct DispatchResult
{
  /** `None` if an instance was granted; otherwise a kind whose outcome is "not
   * run". */
  core::ErrorKind kind = core::ErrorKind::None;
  /** To be given back with `ServiceDispatcher::Release`. */
  std::uint64_t grant = 0;
  /** Set if and only if an instance was granted. */
  std::shared_ptr<const BackendInstance> instance;
  /** After a refusal: time until there is likely to be room. */
  std::chrono::milliseconds retryAfter{ 0 };
};

} // namespace fireflytrail::routing
