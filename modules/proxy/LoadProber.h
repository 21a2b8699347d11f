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
 * Asks instances for their load, each on a connection of its own that carries
 * no requests: an instance that answers nothing on a connection must not hold
 * up a request. Belongs to the daemon's thread.
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
   * Asks an instance at a path. The function is called once, with nothing if
   * the instance does not answer within 100 ms or another one answers.
   */
  void Measure(const routing::BackendInstance& aInstance,
               const std::string& aPath,
               MeasuredFunction aOnMeasured);

  /** Closes the connections to all instances but those with the given ids. */
  void KeepOnly(const std::function<bool(const std::string&)>& aIsKept);

  /** Returns the number of measurements since the start. */
  std::uint64_t Count() const { return this->count; }

private:
  /** The connections to an instance at an address. */
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
