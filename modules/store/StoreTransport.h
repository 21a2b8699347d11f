#pragma once

#include "store/StoreRequest.h"
#include "store/StoreResponse.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>

namespace fireflytrail::store {

/**
 * Sends requests to the platform over HTTP on one `io_context`. Idle
 * connections are kept and reused, except for writes: a kept connection that
 * the platform has closed meanwhile would turn a write into a lost answer.
 * Not thread-safe.
 */
class StoreTransport
{
public:
  using ResponseFunction = std::function<void(StoreResponse)>;

  StoreTransport(boost::asio::io_context& aContext,
                 boost::asio::ip::tcp::endpoint aEndpoint);

  /** Ends running requests as lost. */
  ~StoreTransport();
  StoreTransport(const StoreTransport&) = delete;
  StoreTransport& operator=(const StoreTransport&) = delete;

  /** Sends a request and calls `aDone` once with what came of it. */
  void Send(const StoreRequest& aRequest, ResponseFunction aDone);

private:
  struct Pool;

  static void Run(const std::shared_ptr<Pool>& aPool,
                  const StoreRequest& aRequest,
                  bool aMayReuse,
                  ResponseFunction aDone);

  /** Shared with the functions of running requests. */
  std::shared_ptr<Pool> pool;
};

} // namespace fireflytrail::store
