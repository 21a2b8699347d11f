#pragma once

#include "core/Hooks.h"
#include "store/StoreClient.h"
#include "store/StoreClientSettings.h"
#include "store/StoreTransport.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace fireflytrail::store {

/**
 * A `StoreClient` over HTTP on one `io_context`. Completion functions run on
 * the thread of the context. Not thread-safe.
 */
class AsyncStore
{
public:
  /** `aRandom` must yield different numbers in each process: writer tags and
   * backoff jitter are made from them. */
  AsyncStore(boost::asio::io_context& aContext,
             boost::asio::ip::tcp::endpoint aEndpoint,
             core::RandomFunction aRandom,
             StoreClientSettings aSettings = {});

  /** Returns the client through which store operations are started. */
  StoreClient& Client();

private:
  // Declared before the client to be destroyed after it: the client must not be
  // called for the requests that the transport's destructor ends.
  StoreTransport transport;
  StoreClient client;
};

} // namespace fireflytrail::store
