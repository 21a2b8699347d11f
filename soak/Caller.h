#pragma once

#include "soak/Ledger.h"

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
 * A caller that sends one request after the other, on a connection as long as
 * it may be used, and checks each answer. Belongs to the context's thread.
 */
class Caller
{
public:
  /** What a caller asks and tells. All functions must be set. */
  struct Hooks
  {
    /** Returns a daemon that receives new connections, if there is one. */
    std::function<std::optional<boost::asio::ip::tcp::endpoint>()> daemon;
    /** Told of a request that was sent whole and ended without an answer. */
    std::function<void(const boost::asio::ip::tcp::endpoint&,
                       const std::string& aId)>
      cut;
    /** Told of a status that a route of a configuration version brought. */
    std::function<void(const boost::asio::ip::tcp::endpoint&, unsigned aStatus)>
      answered;
    std::function<bool()> isOver;
  };

  Caller(boost::asio::io_context& aContext,
         Ledger& aLedger,
         Hooks aHooks,
         std::uint64_t aSeed);
  Caller(const Caller&) = delete;
  Caller& operator=(const Caller&) = delete;

  /** Sends requests until it is over. Must outlive the coroutine. */
  boost::asio::awaitable<void> Run();

private:
  boost::asio::awaitable<void> UseConnection(
    boost::asio::ip::tcp::endpoint aDaemon);

  boost::asio::io_context& context;
  Ledger& ledger;
  Hooks hooks;
  std::mt19937_64 random;
  std::uint64_t tag;
  std::uint64_t count = 0;
};

} // namespace fireflytrail::soak
