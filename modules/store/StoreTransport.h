#pragma once

#include "store/StoreRequest.h"
#include "store/StoreResponse.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <string>

namespace fireflytrail::store {

/**
 * Sends requests to the platform over HTTP on one `io_context`. Idle
 * connections are kept and reused, except for writes: if the platform has
 * closed an idle connection in the meantime, it would not be known whether a
 * write on it took effect. Not thread-safe.
 */
class StoreTransport
{
public:
  using ResponseFunction = std::function<void(StoreResponse)>;

  /** `aEraField` names the header field with the era of the store (see
   * `StoreResponse::era`); empty if there is none. */
  StoreTransport(boost::asio::io_context& aContext,
                 boost::asio::ip::tcp::endpoint aEndpoint,
                 std::string aEraField = {});

  /** Ends running requests without an answer. */
  ~StoreTransport();
  StoreTransport(const StoreTransport&) = delete;
  StoreTransport& operator=(const StoreTransport&) = delete;

  /** Sends a request and calls `aDone` once with the outcome. */
  void Send(const StoreRequest& aRequest, ResponseFunction aDone);

private:
  struct Pool;

  static void Run(const std::shared_ptr<Pool>& aPool,
                  const StoreRequest& aRequest,
                  bool aMayReuse,
                  ResponseFunction aDone);

  /** Shared with the completion functions of running requests. */
  std::shared_ptr<Pool> pool;
};

} // namespace fireflytrail::store
