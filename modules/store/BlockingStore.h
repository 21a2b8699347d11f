#pragma once

#include "store/AsyncStore.h"
#include "store/HostsResult.h"
#include "store/StoreClientSettings.h"
#include "store/StoreResult.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <string>

namespace fireflytrail::store {

/**
 * Store access for command-line use. Each method blocks until its operation has
 * ended, at most for the operation limit of the settings plus the time of one
 * request. Not thread-safe.
 */
class BlockingStore
{
public:
  explicit BlockingStore(boost::asio::ip::tcp::endpoint aEndpoint,
                         StoreClientSettings aSettings = {});

  /** See `StoreClient::Read`. */
  StoreResult Read(const std::string& aKey);

  /** See `StoreClient::Write`. */
  StoreResult Write(const std::string& aKey,
                    const std::string& aBody,
                    std::uint64_t aExpected);

  /** See `StoreClient::Watch`. */
  StoreResult Watch(const std::string& aKey, std::uint64_t aVersion);

  /** See `StoreClient::Hosts`. */
  HostsResult Hosts();

private:
  boost::asio::io_context context;
  AsyncStore store;
};

} // namespace fireflytrail::store
