#pragma once

#include "gateway/ServerDialect.h"
#include "routing/BackendInstance.h"
#include "routing/Measurement.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace fireflytrail::gateway {
class ServerPool;
}

namespace fireflytrail::proxy {

/**
 * Asks instances for their load. Each instance has a separate connection for
 * this, which carries no requests, so that a connection without answers never
 * delays a request. For use on the daemon's thread only.
 */
class LoadProber
{
public:
  using MeasuredFunction =
    std::function<void(const std::optional<routing::Measurement>&)>;

  /** `aDialect` is not null. */
  LoadProber(boost::asio::io_context& aContext,
             std::shared_ptr<const gateway::ServerDialect> aDialect);
  ~LoadProber();
  LoadProber(const LoadProber&) = delete;
  LoadProber& operator=(const LoadProber&) = delete;

  /**
   * Asks an instance for its load at a path. `aOnMeasured` is called once, with
   * `std::nullopt` if the instance's load does not arrive within 100 ms, for
   * example because the address is invalid or another instance answers.
   */
  void Measure(const routing::BackendInstance& aInstance,
               const std::string& aPath,
               MeasuredFunction aOnMeasured);

  /** Closes the connections to all instances whose id `aIsKept` rejects. */
  void KeepOnly(const std::function<bool(const std::string&)>& aIsKept);

  /** Returns the number of measurements started so far. */
  std::uint64_t Count() const { return this->count; }

private:
  /** The connection pool of an instance and the address it connects to. */
  struct Target
  {
    std::string address;
    std::shared_ptr<gateway::ServerPool> pool;
  };

  boost::asio::io_context& context;
  std::shared_ptr<const gateway::ServerDialect> dialect;
  std::map<std::string, Target, std::less<>> targets;
  std::uint64_t count = 0;
};

} // namespace fireflytrail::proxy
