#pragma once

#include "core/MessageParser.h"
#include "gateway/CallRequest.h"
#include "gateway/ServerDialect.h"
#include "gateway/ServerExchange.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/string_body.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>

namespace fireflytrail::core {
class MemoryBudget;
class MemoryLease;
} // namespace fireflytrail::core

namespace fireflytrail::gateway {

/**
 * One HTTP/1.1 connection to a backend server. It carries one request at a
 * time and is closed after any request that did not end with a complete answer,
 * so that a late answer is never matched to a later request.
 */
class ServerConnection : public std::enable_shared_from_this<ServerConnection>
{
public:
  using ExchangeFunction = std::function<void(ServerExchange)>;
  using ClosedFunction = std::function<void()>;

  static constexpr std::size_t kMaxAnswerBytes = 4 * 1024 * 1024;

  /** Creates a connection without opening it. `aDialect` is not null; `aMemory`
   * bounds the answers that all connections hold together and may be null. */
  explicit ServerConnection(
    boost::asio::io_context& aContext,
    std::shared_ptr<const ServerDialect> aDialect = ServerDialect::Native(),
    std::shared_ptr<core::MemoryBudget> aMemory = nullptr);
  ~ServerConnection();
  ServerConnection(const ServerConnection&) = delete;
  ServerConnection& operator=(const ServerConnection&) = delete;

  /**
   * Opens the connection if needed, sends the request and reads the complete
   * answer. Calls `aOnEnd` once, unless `Cancel` is called first. No other
   * request may be pending. `aCall` is not null; its body is not copied, and
   * the connection holds it until the request ends. `aInfo.timeLeft` is
   * positive and is sent to the server as its deadline; the owner ends the
   * request with `Cancel` when its own deadline has passed. Call on the
   * context's thread.
   */
  void Send(const boost::asio::ip::tcp::endpoint& aServer,
            std::shared_ptr<const CallRequest> aCall,
            ServerRequestInfo aInfo,
            ExchangeFunction aOnEnd);

  /**
   * Opens the connection without sending a request. It must not be open. Call
   * on the context's thread.
   */
  void Open(const boost::asio::ip::tcp::endpoint& aServer,
            std::function<void(boost::system::error_code)> aOnOpened);

  /**
   * Closes the connection, which cancels a pending request at the server. The
   * request's `aOnEnd` is not called. Call on the context's thread.
   */
  void Cancel();

  /** Returns how far the pending request got. Not thread-safe. */
  calls::AttemptProgress Progress() const { return this->progress; }

  /** Returns how long the connection may be idle before the server closes it,
   * less a margin for the transit time. Not thread-safe. */
  std::chrono::milliseconds IdleLimit() const { return this->idleLimit; }

  /** Returns when the last request ended. Not thread-safe. */
  std::chrono::steady_clock::time_point IdleSince() const
  {
    return this->idleSince;
  }

  /** Returns whether the connection can be reused. Not thread-safe. */
  bool IsReusable() const;

  /** Returns whether the server has sent bytes on an open idle connection; they
   * belong to no request. Call on the context's thread. */
  bool HasUnsolicitedBytes();

  /**
   * Watches an idle connection. Closes it and calls the function once if the
   * server closes it or sends unsolicited bytes. Call on the context's thread.
   */
  void WatchWhileIdle(ClosedFunction aOnClosed);

private:
  using Request =
    boost::beast::http::request<boost::beast::http::span_body<const char>>;
  using Parser = core::MessageParser<false>;

  void Write();
  void Read();
  void ReadPart();
  /** Reads on, or waits if the answer exceeds the memory that is left. */
  void ContinueReading();
  void OnAnswer();
  void UpdateIdleLimit(const ServerReplyInfo& aInfo);
  void Fail(calls::AttemptProgress aProgress);
  void FailOnError(boost::beast::error_code aError);
  void CloseSocket();
  void End(ServerExchange aExchange);

  boost::beast::tcp_stream stream;
  std::shared_ptr<const ServerDialect> dialect;
  std::shared_ptr<core::MemoryBudget> memory;
  boost::asio::steady_timer memoryTimer;
  /** Counts the answer that is being read. */
  std::shared_ptr<core::MemoryLease> answerLease;
  boost::beast::flat_buffer buffer;
  /** The call of the pending request. */
  std::shared_ptr<const CallRequest> call;
  Request request;
  std::optional<Parser> parser;
  ExchangeFunction onEnd;
  ClosedFunction onClosed;
  calls::AttemptProgress progress = calls::AttemptProgress::NothingSent;
  std::chrono::steady_clock::time_point sendStart;
  std::chrono::steady_clock::time_point idleSince;
  std::chrono::milliseconds idleLimit{ 0 };
  /** Number of answers to other requests that arrived; more may follow. */
  unsigned mismatchedAnswers = 0;
  bool isConnectRefused = false;
  bool isLocalFailure = false;
  bool isOpen = false;
  bool isNewConnection = false;
  // Distinguishes the callbacks of one idle watch or request from those of
  // earlier ones on the same connection.
  unsigned generation = 0;
};

} // namespace fireflytrail::gateway
