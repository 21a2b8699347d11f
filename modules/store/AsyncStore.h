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
  /** `aRandom` must differ between processes: it draws tags and jitter. */
  AsyncStore(boost::asio::io_context& aContext,
             boost::asio::ip::tcp::endpoint aEndpoint,
             core::RandomFunction aRandom,
             StoreClientSettings aSettings = {});

  /** Returns the client, whose operations are those of the store. */
  StoreClient& Client();

private:
  // Destroyed after the client, which must not hear of requests ended then.
  StoreTransport transport;
  StoreClient client;
};

} // namespace fireflytrail::store
