#pragma once

#include "soak/RequestHistory.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>

namespace fireflytrail::soak {

/**
 * A caller that sends requests one at a time, reuses each connection while
 * keep-alive permits, and checks each response. Use it only on the context's
 * thread.
 */
class Caller
{
public:
  /** Callbacks of a caller. All functions must be set. */
  struct Hooks
  {
    /** Returns a daemon that accepts new connections, if there is one. */
    std::function<std::optional<boost::asio::ip::tcp::endpoint>()> daemon;
    /** Called when the first request on a connection was sent completely and
     * the connection ended without a complete response. */
    std::function<void(const boost::asio::ip::tcp::endpoint&,
                       const std::string& aId)>
      onConnectionLost;
    /** Called with the status of each complete response. */
    std::function<void(const boost::asio::ip::tcp::endpoint&, unsigned aStatus)>
      onResponse;
    /** Returns true when the caller must stop sending. */
    std::function<bool()> isOver;
  };

  Caller(boost::asio::io_context& aContext,
         RequestHistory& aHistory,
         Hooks aHooks,
         std::uint64_t aSeed);
  Caller(const Caller&) = delete;
  Caller& operator=(const Caller&) = delete;

  /** Sends requests until `Hooks::isOver` returns true. The caller must outlive
   * the coroutine. */
  boost::asio::awaitable<void> Run();

private:
  /** Sends requests on one connection until it ends or has carried its maximum
   * number of requests. */
  boost::asio::awaitable<void> UseConnection(
    boost::asio::ip::tcp::endpoint aDaemon);

  boost::asio::io_context& context;
  RequestHistory& history;
  Hooks hooks;
  std::mt19937_64 random;
  /** Makes the request ids of this caller distinct from those of others. */
  std::uint64_t idPrefix;
  /** Number of requests sent, which numbers the request ids. */
  std::uint64_t count = 0;
};

} // namespace fireflytrail::soak
