#pragma once

#include "soak/HttpService.h"

#include <boost/asio/awaitable.hpp>
#include <boost/json/value.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace fireflytrail::review {

class Record;

/**
 * A sound instance of a service: runs as many requests as it has slots, queues
 * a few more, and refuses the others. Use it only on the context's thread.
 */
class Backend
{
public:
  struct Options
  {
    std::string service;
    std::string id;
    std::string zone;
    std::string version = "v1";
    unsigned slots = 4;
    unsigned queue = 8;
    /** Returns how long a request takes. */
    std::function<std::chrono::milliseconds()> work;
    /** Returns the status of the answer to a request that has run. */
    std::function<unsigned()> status = [] { return 200U; };
  };

  Backend(boost::asio::io_context& aContext, Record& aRecord, Options aOptions);
  Backend(const Backend&) = delete;
  Backend& operator=(const Backend&) = delete;

  /** Returns the `Spec` of the instance's object in the store. */
  boost::json::value Registration() const;

  const Options& Description() const { return this->options; }

private:
  boost::asio::awaitable<void> Accept();
  boost::asio::awaitable<void> Serve(
    std::shared_ptr<boost::beast::tcp_stream> aStream);
  boost::asio::awaitable<soak::HttpResponse> Handle(soak::HttpRequest aRequest);
  boost::asio::awaitable<bool> WaitForSlot(
    std::chrono::steady_clock::time_point aDeadline);

  boost::asio::io_context& context;
  Record& record;
  Options options;
  std::uint64_t bornMs = 0;
  boost::asio::ip::tcp::acceptor acceptor;
  unsigned running = 0;
  unsigned waiting = 0;
};

} // namespace fireflytrail::review
