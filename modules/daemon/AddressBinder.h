#pragma once

#include "core/Log.h"

#include <boost/system/error_code.hpp>

#include <chrono>
#include <functional>
#include <string>
#include <string_view>

namespace fireflytrail::daemon {

/**
 * Binds the addresses of a starting daemon. An address that is in use is tried
 * again, since the daemon's predecessor may still be stopping. Not thread-safe.
 */
class AddressBinder
{
public:
  /** `aLog` must outlive the binder. `aLimit` bounds the time of all tries of
   * all addresses together. */
  AddressBinder(const core::Log& aLog, std::chrono::milliseconds aLimit);

  /**
   * Calls `aOpen` until it succeeds; blocks between the calls. Logs the first
   * try that fails. Returns false and logs the reason after another error than
   * an address in use, at the limit, or if SIGTERM or SIGINT has arrived (see
   * `core::StopSignals`).
   */
  bool Bind(std::string_view aPort,
            const std::string& aAddress,
            const std::function<boost::system::error_code()>& aOpen);

private:
  const core::Log& log;
  std::chrono::steady_clock::time_point end;
};

} // namespace fireflytrail::daemon
