#pragma once

#include "gateway/CallerSession.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace fireflytrail::gateway {
class TcpListener;
}

namespace fireflytrail::daemon {

/** Functions that return the contents of the operators' pages. All but
 * `isReady` must be set. */
struct OperatorPages
{
  std::function<std::string()> metrics;
  std::function<std::string()> dump;
  std::function<std::string()> status;
  /** Whether `/ready` answers 200 (true) or 503 (false). If it is not set,
   * there is no such page. */
  std::function<bool()> isReady;
};

/** Bounds on what the clients of such an endpoint take. */
struct OperatorLimits
{
  /** Counts heads and buffers; may be null. */
  std::shared_ptr<core::MemoryBudget> memory;
  /** Beyond them, one is closed for each new one; see
   * `gateway::HeldConnection::SelectOldest`. */
  std::size_t maxConnections = 64;
};

/**
 * Read-only HTTP endpoint for operators: `/metrics`, `/dump`, `/status` and, if
 * `OperatorPages::isReady` is set, `/ready`. Operators make changes through the
 * store only, so requests with a body are refused without reading it. Use on
 * the thread of `aContext` only.
 */
class OperatorEndpoint
{
public:
  OperatorEndpoint(boost::asio::io_context& aContext,
                   OperatorPages aPages,
                   OperatorLimits aLimits = {});

  /** Binds the address. Returns an error if it cannot be bound; only then it
   * may be called again. */
  boost::system::error_code Open(
    const boost::asio::ip::tcp::endpoint& aEndpoint);

  /** Returns the bound endpoint; `Open` must have succeeded. */
  boost::asio::ip::tcp::endpoint LocalEndpoint() const;

  /** Stops accepting connections. */
  void Close();

  /** Returns how many connections were closed to make place for others. */
  std::size_t DroppedConnections() const { return this->dropped; }

private:
  struct Connection
  {
    std::weak_ptr<gateway::CallerSession> session;
    boost::asio::ip::address address;
  };

  gateway::CallAnswer Answer(const gateway::CallRequest& aRequest) const;
  void OnConnected(boost::asio::ip::tcp::socket aSocket);
  /** Closes a connection if there are as many as allowed. */
  void MakePlace();

  OperatorPages pages;
  OperatorLimits limits;
  std::shared_ptr<gateway::CallerSessionHooks> hooks;
  std::shared_ptr<gateway::TcpListener> listener;
  std::vector<Connection> connections;
  std::size_t dropped = 0;
};

} // namespace fireflytrail::daemon
