#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/json/value.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace fireflytrail::memory {

/**
 * A stand-in for a backend server that reads bodies of any length and answers
 * with as many bytes as the target asks for: `/NAME/BYTES`, or
 * `/NAME/BYTES/chunked` for an answer of unknown length. It keeps neither. Use
 * it only on the context's thread.
 */
class LoadServer : public std::enable_shared_from_this<LoadServer>
{
public:
  LoadServer(boost::asio::io_context& aContext, std::string aId);
  LoadServer(const LoadServer&) = delete;
  LoadServer& operator=(const LoadServer&) = delete;

  /** Starts to listen at a free port of an address. Throws if it cannot. */
  void Open(const boost::asio::ip::tcp::endpoint& aEndpoint);

  /** Returns the `Spec` of the server's object in the store. */
  boost::json::value Registration(std::uint64_t aSequence) const;

private:
  boost::asio::awaitable<void> Accept();
  boost::asio::awaitable<void> Serve(boost::asio::ip::tcp::socket aSocket);
  std::string AnswerHead(const std::string& aRequestId,
                         std::size_t aBytes,
                         bool aIsChunked) const;

  boost::asio::io_context& context;
  std::string id;
  boost::asio::ip::tcp::acceptor acceptor;
};

} // namespace fireflytrail::memory
