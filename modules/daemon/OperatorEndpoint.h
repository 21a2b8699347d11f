#pragma once

#include "gateway/CallerSession.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <string>

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

/**
 * Read-only HTTP endpoint for operators: `/metrics`, `/dump`, `/status` and, if
 * `OperatorPages::isReady` is set, `/ready`. Operators make changes through the
 * store only. Use on the thread of `aContext` only.
 */
class OperatorEndpoint
{
public:
  OperatorEndpoint(boost::asio::io_context& aContext, OperatorPages aPages);

  /** Binds the address. Returns an error if it cannot be bound; only then it
   * may be called again. */
  boost::system::error_code Open(
    const boost::asio::ip::tcp::endpoint& aEndpoint);

  /** Returns the bound endpoint; `Open` must have succeeded. */
  boost::asio::ip::tcp::endpoint LocalEndpoint() const;

  /** Stops accepting connections. */
  void Close();

private:
  gateway::CallAnswer Answer(const gateway::CallRequest& aRequest) const;

  OperatorPages pages;
  std::shared_ptr<gateway::CallerSessionHooks> hooks;
  std::shared_ptr<gateway::TcpListener> listener;
};

} // namespace fireflytrail::daemon
