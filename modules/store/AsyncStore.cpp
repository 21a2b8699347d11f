#include "store/AsyncStore.h"

#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <utility>

namespace fireflytrail::store {

namespace {

StoreHooks
HooksFor(boost::asio::io_context& aContext,
         StoreTransport& aTransport,
         core::RandomFunction aRandom)
{
  return {
    .now = std::chrono::steady_clock::now,
    .random = std::move(aRandom),
    .schedule =
      [&aContext](std::chrono::milliseconds aDelay,
                  std::function<void()> aFunction) {
        auto timer =
          std::make_shared<boost::asio::steady_timer>(aContext, aDelay);
        timer->async_wait([timer, function = std::move(aFunction)](
                            boost::system::error_code) { function(); });
      },
    .send =
      [&aTransport](const StoreRequest& aRequest,
                    std::function<void(StoreResponse)> aDone) {
        aTransport.Send(aRequest, std::move(aDone));
      },
  };
}

} // namespace

AsyncStore::AsyncStore(boost::asio::io_context& aContext,
                       boost::asio::ip::tcp::endpoint aEndpoint,
                       core::RandomFunction aRandom,
                       StoreClientSettings aSettings)
  : transport(aContext, std::move(aEndpoint))
  , client(aSettings, HooksFor(aContext, this->transport, std::move(aRandom)))
{
}

StoreClient&
AsyncStore::Client()
{
  return this->client;
}

} // namespace fireflytrail::store
