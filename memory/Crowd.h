#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace fireflytrail::memory {

/**
 * Many clients that misbehave at one port of a daemon: each connects, sends
 * what its kind says, stays, and comes again when it was disconnected. Use it
 * only on the context's thread.
 */
class Crowd : public std::enable_shared_from_this<Crowd>
{
public:
  struct Plan
  {
    std::uint64_t seed = 1;
    /** One of `Kinds`. */
    std::string kind;
    boost::asio::ip::tcp::endpoint target;
    /** Whether the port speaks the frames of daemons instead of HTTP. */
    bool isPeerPort = false;
    /** Paths that its requests name in turn. */
    std::vector<std::string> paths;
    unsigned clients = 0;
    /** Time within which all clients have come. */
    std::chrono::milliseconds arrivalTime{ 1000 };
  };

  /** Returns the names of the kinds for a port. */
  static std::vector<std::string> Kinds(bool aIsPeerPort);

  Crowd(boost::asio::io_context& aContext, Plan aPlan);
  Crowd(const Crowd&) = delete;
  Crowd& operator=(const Crowd&) = delete;

  /** Lets the clients come. Call once. */
  void Start();

  /** Closes all connections; no client comes again. */
  void Leave();

  /** Returns how many connections were established so far. */
  std::size_t Connections() const { return this->connections; }

private:
  using Awaitable = boost::asio::awaitable<void>;
  using Socket = boost::asio::ip::tcp::socket;

  /** Comes again and again until the crowd leaves. */
  Awaitable RunClient(unsigned aIndex);
  /** Sends what the kind says; returns when nothing more is to be sent. */
  Awaitable Send(Socket& aSocket, unsigned aIndex);
  Awaitable SendFrames(Socket& aSocket);
  /** Sends a body in pieces of `aPieceBytes`; stops one byte short of it. */
  Awaitable SendBody(Socket& aSocket,
                     std::string aHead,
                     std::size_t aPieceBytes,
                     bool aIsChunked);
  Awaitable SendSlowly(Socket& aSocket, std::string aText);
  Awaitable Repeat(Socket& aSocket, std::string aText);
  /** Sends requests and reads their answers a few bytes at a time. */
  Awaitable ReadSlowly(Socket& aSocket, std::string aHead);
  Awaitable Write(Socket& aSocket, std::string_view aText);
  Awaitable Wait(std::chrono::milliseconds aTime);
  std::string Head(std::string_view aMethod,
                   unsigned aIndex,
                   std::string_view aFields);

  boost::asio::io_context& context;
  Plan plan;
  std::mt19937_64 random;
  std::set<Socket*> open;
  std::size_t connections = 0;
  std::size_t requests = 0;
  bool isLeaving = false;
};

} // namespace fireflytrail::memory
