#pragma once

#include "configuration/CallerLimits.h"
#include "core/MemoryLease.h"
#include "core/MessageParser.h"
#include "gateway/CallAnswer.h"
#include "gateway/CallRequest.h"
#include "gateway/CallerConnectionEnd.h"
#include "gateway/CallerDialect.h"
#include "gateway/CloseWatch.h"
#include "gateway/HeldConnection.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/string_body.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace fireflytrail::core {
class MemoryBudget;
} // namespace fireflytrail::core

namespace fireflytrail::gateway {

/** Hooks that the sessions of one traffic thread share. */
struct CallerSessionHooks
{
  using AnswerFunction = std::function<void(CallAnswer)>;
  using CancelFunction = std::function<void()>;

  /**
   * Runs a call and calls the answer function exactly once, on the session's
   * thread, either later or before it returns. Returns a function that ends
   * the call early if its caller closes the connection or only its sending
   * side; the call is then answered too. It may be empty.
   */
  std::function<CancelFunction(CallRequest, AnswerFunction)> handleCall;

  /** Returns whether the daemon is stopping; answers then close connections. */
  std::function<bool()> isStopping;

  /** Called with +1 when a session begins and with -1 when it ends. */
  std::function<void(int)> sessionCountChanged;

  /** Called when a connection ends with a request that has no complete answer;
   * may be empty. */
  std::function<void(const CallerConnectionEnd&)> requestCut;

  /** The header fields that callers use; never null. */
  std::shared_ptr<const CallerDialect> dialect = CallerDialect::Native();

  /**
   * How long a caller may leave a connection unused before it sends its next
   * request, in whole seconds; answers state it. 0 states nothing.
   */
  std::chrono::seconds keepAliveTime{ 0 };

  /** Size limits of requests, and timeouts of requests and idle connections. */
  configuration::CallerLimits limits;

  /** Bounds the bodies, heads and buffers that all connections hold together;
   * may be null. */
  std::shared_ptr<core::MemoryBudget> memory;

  /** Called when a request is refused for lack of memory; may be empty. */
  std::function<void()> memoryShort;
};

/**
 * One connection of a caller: reads requests one at a time, hands each to the
 * call hook and writes its answer before it reads the next. It keeps itself
 * alive by shared ownership while operations are pending.
 */
class CallerSession : public std::enable_shared_from_this<CallerSession>
{
public:
  /**
   * Takes ownership of an accepted socket. All hooks must be set, and the
   * objects that they use must outlive the session. Call on the socket's
   * thread.
   */
  CallerSession(boost::asio::ip::tcp::socket aSocket,
                std::shared_ptr<const CallerSessionHooks> aHooks);
  ~CallerSession();
  CallerSession(const CallerSession&) = delete;
  CallerSession& operator=(const CallerSession&) = delete;

  /** Starts reading. Call once, on the socket's thread. */
  void Start();

  /**
   * Starts reading like `Start`, but answers the first request as not run and
   * closes: there are too many connections. Call instead of `Start`.
   */
  void StartRefusing();

  /**
   * Closes the connection if no request has arrived or is being answered and
   * none is expected any more at `aNow`: the time that the last answer stated
   * for the next request is over, or, on a new connection, the first request is
   * overdue. Call on the socket's thread, and only while the daemon is
   * stopping: a request that arrives at the same moment is served, and its
   * answer then closes the connection.
   */
  void CloseIfIdle(std::chrono::steady_clock::time_point aNow);

  /** Returns what the connection holds for a request that is being read. Call
   * on the socket's thread, like the methods below. */
  HeldConnection Held() const;

  /** Answers the request that is being read as not run, and closes, because its
   * memory is needed. Returns false, and does nothing, if no request is being
   * read or a part of it has arrived that only this process has not read. */
  bool RefuseStalled();

  /** Closes the connection in whatever it does, because its place is needed. */
  void Drop();

  /** Sets how many bytes the kernel keeps of the connection, in each
   * direction, until they are read or acknowledged. */
  void SetSocketBuffers(std::size_t aBytes);

  /** Reports the request that is unanswered because the process ends, if there
   * is one. Call on the socket's thread. */
  void ReportStop();

private:
  using Stage = CallerConnectionEnd::Stage;
  using Closer = CallerConnectionEnd::Closer;
  using Parser = core::MessageParser<true>;
  using Response =
    boost::beast::http::response<boost::beast::http::span_body<const char>>;

  void ReadHeader();
  void ReadRestOfHeader();
  void OnIdleWaitEnded();
  void ReadHeaderPart();
  void OnHeader(boost::beast::error_code aError);
  /** Returns the longest head and the bytes in front of the parser, in bytes.
   */
  std::size_t MaxBufferBytes() const;
  /**
   * Allows the buffer of received bytes to grow to `aBytes`; returns false if
   * the memory that is left does not suffice.
   */
  bool TryGrowBuffer(std::size_t aBytes);
  /**
   * Continues with a larger buffer, or refuses the request; returns whether
   * `aError` says that the buffer is full and may still grow.
   */
  bool GrowFullBuffer(boost::beast::error_code aError,
                      const std::function<void()>& aContinue);
  /** Takes the memory of the head's fields; returns false if it is not left. */
  bool TryHoldHead();
  void ReadBody();
  void OnBodyPart(boost::beast::error_code aError);
  /** Allows a request that is being read until `aTime` for its next part. */
  void LimitReading(std::chrono::steady_clock::time_point aTime);
  void StartReadTimer();
  /** Returns the time by which the body must be complete. */
  std::chrono::steady_clock::time_point BodyDeadline() const;
  void OnRequest(boost::beast::error_code aError);
  void RefuseRequest(boost::beast::error_code aError);
  /** Refuses a request whose body exceeds the memory that is left. */
  void RefuseForMemory();
  void StartCall();
  std::optional<CallRequest> ExtractCall();
  bool HasUnreadBytes();
  void WriteAnswer(const CallAnswer& aAnswer, bool aKeepAlive);
  void OnWritten(boost::beast::error_code aError);
  void CloseAfterDrain();
  void DrainInput(std::size_t aDrainedBytes);
  /** Reports the unanswered request, if there is one. */
  void ReportCut(Closer aCloser);
  /** Reports the unanswered request, if there is one, and closes. */
  void CloseOnError(boost::beast::error_code aError);
  void Close();

  boost::beast::tcp_stream stream;
  std::shared_ptr<const CallerSessionHooks> hooks;
  boost::beast::flat_buffer buffer;
  /** Counts what the buffer may hold beyond that of an idle connection. */
  core::MemoryLease bufferLease;
  /** Counts the head from its arrival until the answer is written. */
  core::MemoryLease headLease;
  std::optional<Parser> parser;
  /** Counts the body that is being read. */
  std::shared_ptr<core::MemoryLease> bodyLease;
  Response response;
  /** Holds the body of the response until it is written. */
  std::shared_ptr<const calls::Answer> answer;
  bool isIdle = true;
  /** How far the current request has come; empty once it is answered. */
  std::optional<Stage> stage;
  std::chrono::steady_clock::time_point requestBegin;
  std::string requestId;
  /** While idle: time from which no request is expected any more. */
  std::chrono::steady_clock::time_point requestExpectedUntil;
  /** Time for which the last answer allowed the connection to be unused. */
  std::chrono::milliseconds statedIdleTime{ 0 };
  /** Limits the reading of requests. The timer of the stream would close the
   * socket, so that no answer could be written. */
  boost::asio::steady_timer readTimer;
  std::chrono::steady_clock::time_point readDeadline;
  bool isReadTimerRunning = false;
  bool isReadTimedOut = false;
  /** Whether the request that is being read is ended because it stalls. */
  bool isStalled = false;
  bool hasServed = false;
  std::chrono::steady_clock::time_point lastPart;
  std::chrono::steady_clock::time_point headArrival;
  /** Set when the body does not arrive together with the head. */
  std::optional<std::chrono::steady_clock::time_point> bodyDeadline;
  CloseWatch closeWatch;
  bool isCallRunning = false;
  bool isRefusing = false;
  bool isKeptAlive = false;
  bool isHeadRequest = false;
  unsigned httpVersion = 11;
};

} // namespace fireflytrail::gateway
