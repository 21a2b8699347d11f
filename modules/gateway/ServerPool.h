#pragma once

#include "gateway/CallRequest.h"
#include "gateway/ServerDialect.h"
#include "gateway/ServerExchange.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace fireflytrail::core {
class MemoryBudget;
} // namespace fireflytrail::core

namespace fireflytrail::gateway {

class ServerConnection;

/**
 * The connections of one traffic thread to one backend server. Idle
 * connections are kept up to a limit and reused, the most recently used first.
 */
class ServerPool : public std::enable_shared_from_this<ServerPool>
{
public:
  using ExchangeFunction = std::function<void(ServerExchange)>;

  /**
   * Creates an empty pool that keeps at most `aMaxIdle` idle connections.
   * `aServerId` is the expected identity of the server, or empty if the dialect
   * does not state it. `aMemory` bounds the answers that all connections hold
   * together; it may be null.
   */
  ServerPool(
    boost::asio::io_context& aContext,
    boost::asio::ip::tcp::endpoint aServer,
    std::size_t aMaxIdle,
    std::string aServerId = {},
    std::shared_ptr<const ServerDialect> aDialect = ServerDialect::Native(),
    std::shared_ptr<core::MemoryBudget> aMemory = nullptr);
  ~ServerPool();
  ServerPool(const ServerPool&) = delete;
  ServerPool& operator=(const ServerPool&) = delete;

  /**
   * Sends a call on an idle or a new connection and calls `aOnEnd` exactly
   * once. The returned connection can be used to cancel the call. `aCall` is
   * not null and is held until the call ends. `aTimeLeft` is positive. Call on
   * the context's thread.
   */
  std::shared_ptr<ServerConnection> Send(
    std::shared_ptr<const CallRequest> aCall,
    std::chrono::milliseconds aTimeLeft,
    unsigned aAttempt,
    ExchangeFunction aOnEnd);

  /**
   * Cancels a pending call at the server by closing its connection. `Send` must
   * have returned the connection, and its call must not have ended. The call's
   * `aOnEnd` is not called. Call on the context's thread.
   */
  void Cancel(ServerConnection& aConnection);

  /**
   * Opens a connection and keeps it for later calls. Calls `aOnChecked` with
   * true if the server's host refused it, which shows that no process is
   * listening, and with false otherwise. Call on the context's thread.
   */
  void CheckConnectRefused(std::function<void(bool)> aOnChecked);

  /** Closes the idle connections. Call on the context's thread. */
  void CloseIdle();

  /** Returns the number of connections, idle and in use. Not thread-safe. */
  std::size_t ConnectionCount() const;

private:
  std::shared_ptr<ServerConnection> AcquireIdle();
  void ReturnToPool(const std::shared_ptr<ServerConnection>& aConnection);

  boost::asio::io_context& context;
  boost::asio::ip::tcp::endpoint server;
  std::size_t maxIdle;
  std::string serverId;
  std::shared_ptr<const ServerDialect> dialect;
  std::shared_ptr<core::MemoryBudget> memory;
  std::size_t inUse = 0;
  std::vector<std::shared_ptr<ServerConnection>> idle;
};

} // namespace fireflytrail::gateway
