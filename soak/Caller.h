#pragma once

#include "soak/HttpService.h"
#include "soak/RequestHistory.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>

namespace fireflytrail::soak {

/**
 * A caller that sends requests one at a time and checks each response. Use it
 * only on the context's thread.
 */
class Caller
{
public:
  /** How a caller chooses its daemons and uses its connections. */
  enum class Kind : std::uint8_t
  {
    /** Uses daemons that are ready, as behind a balancer, and several requests
     * on each connection. */
    Balanced,
    /** Uses any daemon that accepts, and each connection until the daemon
     * closes it, at times after a pause. */
    Keeping,
    /** Opens a connection to any daemon that accepts for each request. */
    Reconnecting,
    /** As `Reconnecting`, almost without pauses, and for a service without
     * servers, so that the daemon responds at once. */
    Hurried,
    /** As `Reconnecting`, and sends the body in two parts. */
    SlowBody,
    /** As `Reconnecting`, and at times closes the connection before the
     * response. */
    Leaving,
    /** As `Reconnecting`, and closes its sending half after the request. */
    HalfClosing,
  };

  /** A request whose connection ended without a complete response. */
  struct LostRequest
  {
    std::string id;
    boost::asio::ip::tcp::endpoint daemon;
    std::chrono::steady_clock::time_point sentAt;
    std::chrono::steady_clock::time_point endedAt;
    /** Whether the connection had carried no request before. */
    bool isFirst = false;
    std::string error;
  };

  /** Callbacks of a caller. All functions must be set. */
  struct Hooks
  {
    /** Returns a daemon; `aMustBeReady` if it must accept new connections. */
    std::function<std::optional<boost::asio::ip::tcp::endpoint>(
      bool aMustBeReady)>
      daemon;
    /** Called when the connection of a request that was sent ended without a
     * complete response. */
    std::function<void(const LostRequest&)> onRequestLost;
    /** Called with the status of each complete response. */
    std::function<void(const std::string& aId, unsigned aStatus)> onResponse;
    /** Returns the key of a new request; empty for one that has no key, which
     * is sent on a public route. */
    std::function<std::string(const std::string& aId)> keyOf;
    /** Returns true when the caller must stop sending. */
    std::function<bool()> isOver;
  };

  Caller(boost::asio::io_context& aContext,
         RequestHistory& aHistory,
         Hooks aHooks,
         Kind aKind,
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
  HttpRequest MakeRequest(const std::string& aId);
  /** Sends a request in the way of the caller's kind; returns the error. */
  boost::asio::awaitable<boost::system::error_code> Send(
    boost::beast::tcp_stream& aStream,
    const HttpRequest& aRequest);
  boost::asio::awaitable<void> Wait(std::chrono::milliseconds aTime);
  /** Returns the time until the next request on a connection. */
  std::chrono::milliseconds NextPause();
  unsigned MaxRequestsPerConnection() const;

  boost::asio::io_context& context;
  RequestHistory& history;
  Hooks hooks;
  Kind kind;
  std::mt19937_64 random;
  /** Makes the request ids of this caller distinct from those of others. */
  std::uint64_t idPrefix;
  /** Number of requests sent, which numbers the request ids. */
  std::uint64_t count = 0;
};

} // namespace fireflytrail::soak
