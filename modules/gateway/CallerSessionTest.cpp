#include "gateway/CallerSession.h"

#include "core/MemoryBudget.h"
#include "core/MemoryLease.h"
#include "gateway/TcpListener.h"

#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <chrono>
#include <functional>
#include <future>
#include <mutex>
#include <thread>
#include <vector>

using namespace fireflytrail;
using namespace fireflytrail::gateway;
using boost::asio::ip::tcp;
using namespace std::chrono_literals;

namespace {

/**
 * Runs sessions on a thread. Each call is answered with its service, target and
 * body, except that a call to `/hang` is left pending.
 */
class EchoGateway
{
public:
  EchoGateway()
  {
    this->hooks = std::make_shared<CallerSessionHooks>();
    this->hooks->handleCall = [this](CallRequest aCall,
                                     CallerSessionHooks::AnswerFunction aDone)
      -> CallerSessionHooks::CancelFunction {
      this->calls.push_back(aCall);
      if (aCall.target == "/hang") {
        this->pending.push_back(std::move(aDone));
        this->hangingCall.set_value();
        return [this] {
          this->cancelled.set_value();
          std::exchange(this->pending.back(), nullptr)(
            CallAnswer::OfError(core::ErrorKind::CallerGone));
        };
      }
      aDone(CallAnswer::OfText(
        200, aCall.service + " " + aCall.target + " " + aCall.body));
      return {};
    };
    this->hooks->isStopping = [] { return false; };
    this->hooks->sessionCountChanged = [this](int aChange) {
      this->openSessions += aChange;
    };
    this->hooks->requestCut = [this](const CallerConnectionEnd& aEnd) {
      std::lock_guard lock(this->cutMutex);
      this->cuts.push_back(aEnd);
    };
    this->listener =
      std::make_shared<TcpListener>(this->context, [this](tcp::socket aSocket) {
        const auto session =
          std::make_shared<CallerSession>(std::move(aSocket), this->hooks);
        this->sessions.push_back(session);
        if (this->refusesAll) {
          session->StartRefusing();
        } else {
          session->Start();
        }
      });
    const auto error =
      this->listener->Open({ boost::asio::ip::address_v4::loopback(), 0 });
    BOOST_REQUIRE(!error);
    this->thread = std::thread([this] { this->context.run(); });
  }

  ~EchoGateway()
  {
    this->context.stop();
    this->thread.join();
    this->pending.clear();
  }

  /** Sends bytes, shuts down the sending side if `aEndsSending` is set, and
   * returns all bytes received until the connection is closed. */
  std::string Exchange(const std::string& aBytes, bool aEndsSending = true)
  {
    boost::asio::io_context clientContext;
    tcp::socket socket(clientContext);
    socket.connect(this->listener->LocalEndpoint());
    boost::system::error_code error;
    boost::asio::write(socket, boost::asio::buffer(aBytes), error);
    if (aEndsSending) {
      socket.shutdown(tcp::socket::shutdown_send, error);
    }
    std::string answer;
    boost::asio::read(socket, boost::asio::dynamic_buffer(answer), error);
    return answer;
  }

  /** Closes the sessions that are idle at a time, as a planned stop does. */
  void CloseIdleSessions(std::chrono::steady_clock::time_point aNow)
  {
    this->ForEachSession(
      [aNow](CallerSession& aSession) { aSession.CloseIfIdle(aNow); });
  }

  /** Calls a function with each open session, on the sessions' thread. */
  void ForEachSession(const std::function<void(CallerSession&)>& aFunction)
  {
    std::promise<void> done;
    boost::asio::post(this->context, [&] {
      for (const auto& weak : this->sessions) {
        if (const auto session = weak.lock()) {
          aFunction(*session);
        }
      }
      done.set_value();
    });
    done.get_future().wait();
  }

  int OpenSessions() const { return this->openSessions; }

  /** Returns the reports of unanswered requests once all sessions have ended,
   * or after two seconds. */
  std::vector<CallerConnectionEnd> WaitForCuts()
  {
    const auto limit = std::chrono::steady_clock::now() + 2s;
    while (this->openSessions > 0 && std::chrono::steady_clock::now() < limit) {
      std::this_thread::sleep_for(1ms);
    }
    std::lock_guard lock(this->cutMutex);
    return this->cuts;
  }

  tcp::endpoint Endpoint() const { return this->listener->LocalEndpoint(); }

  /** To be changed only while there is no session. */
  CallerSessionHooks& Hooks() { return *this->hooks; }

  std::vector<CallRequest> calls;
  /** Whether new sessions refuse their first request. */
  std::atomic<bool> refusesAll{ false };
  std::promise<void> hangingCall;
  std::promise<void> cancelled;

private:
  std::mutex cutMutex;
  std::vector<CallerConnectionEnd> cuts;
  std::atomic<int> openSessions{ 0 };
  boost::asio::io_context context;
  std::shared_ptr<CallerSessionHooks> hooks;
  std::shared_ptr<TcpListener> listener;
  std::vector<std::weak_ptr<CallerSession>> sessions;
  std::vector<CallerSessionHooks::AnswerFunction> pending;
  std::thread thread;
};

std::string
StatusLineOf(const std::string& aAnswer)
{
  return aAnswer.substr(0, aAnswer.find("\r\n"));
}

// Two different lengths, and a length together with chunked coding: the usual
// ways to smuggle a second request past a proxy.
const std::string kTwoLengths = "POST /a/b HTTP/1.1\r\nContent-Length: 3\r\n"
                                "Content-Length: 5\r\n\r\nabcde";
const std::string kLengthAndChunked =
  "POST /a/b HTTP/1.1\r\nContent-Length: 3\r\n"
  "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
const std::string kChunkedAndLength =
  "POST /a/b HTTP/1.1\r\nTransfer-Encoding: chunked\r\n"
  "Content-Length: 3\r\n\r\n0\r\n\r\n";

// A body whose end is not known, which would be read as the next request.
const std::string kUnknownCoding = "POST /a/b HTTP/1.1\r\nTransfer-Encoding: ";
const std::string kSmuggledRequest = "\r\n\r\nGET /a/c HTTP/1.1\r\n\r\n";

// The last byte of each may be repeated without end.
const std::string kChunkedStart =
  "POST /a/b HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::vector<std::string> kEndlessStarts{
  "GET /a/b HTTP/1.1\r\nX: x",
  kChunkedStart + "5;name=x",
  kChunkedStart + "0",
  kChunkedStart + "0\r\nX: x",
};

const std::vector<std::string> kMalformedRequests{
  kTwoLengths,
  kLengthAndChunked,
  kChunkedAndLength,
  kUnknownCoding + "gzip" + kSmuggledRequest,
  kUnknownCoding + "chunked, identity" + kSmuggledRequest,
  kUnknownCoding + "gzip, chunked\r\n\r\n0\r\n\r\n",
  kUnknownCoding + "chunked;a=b\r\n\r\n0\r\n\r\n",
  kUnknownCoding + "gzip\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
  kUnknownCoding + "\r\n\r\n",
  "TRACE /a/b HTTP/1.1\r\nContent-Length: 1\r\n\r\nx",
  "POST /a/b HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
  "GET /a/b HTTP/1.1\r\nBad Name: x\r\n\r\n",
  "garbage\r\n\r\n",
  "GET a/b HTTP/1.1\r\n\r\n",
  "GET /a/b HTTP/1.1\r\nDeadline-Ms: soon\r\n\r\n",
};

} // namespace

// Guards against answers to pipelined requests being sent in the wrong order.
BOOST_AUTO_TEST_CASE(PipelinedRequestsAreAnsweredInOrder)
{
  EchoGateway gateway;
  const std::string answer =
    gateway.Exchange("GET /s/one?x=1 HTTP/1.1\r\n\r\n"
                     "POST /s/two HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi"
                     "GET /s HTTP/1.1\r\nConnection: close\r\n\r\n");
  const auto first = answer.find("s /one?x=1 ");
  const auto second = answer.find("s /two hi");
  const auto third = answer.find("s / ");
  BOOST_TEST(first != std::string::npos);
  BOOST_TEST(first < second);
  BOOST_TEST(second < third);
  BOOST_TEST(third != std::string::npos);
}

// Guards against request smuggling and malformed requests reaching a server.
BOOST_DATA_TEST_CASE(MalformedRequestsAreRefused,
                     boost::unit_test::data::make(kMalformedRequests),
                     request)
{
  EchoGateway gateway;
  const std::string answer = gateway.Exchange(request);
  BOOST_TEST(StatusLineOf(answer) == "HTTP/1.1 400 Bad Request");
  BOOST_TEST(answer.find("Call-Outcome: not-run") != std::string::npos);
  BOOST_TEST(gateway.calls.empty());
}

// Guards against the same where the sender's version has no transfer codings.
BOOST_AUTO_TEST_CASE(ChunkedRequestOfVersionOneZeroIsRefused)
{
  EchoGateway gateway;
  const std::string answer = gateway.Exchange(
    "POST /a/b HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
  BOOST_TEST(StatusLineOf(answer) == "HTTP/1.0 400 Bad Request");
  BOOST_TEST(gateway.calls.empty());
}

// Guards against unbounded memory for headers and bodies.
BOOST_AUTO_TEST_CASE(OversizedRequestsAreRefused)
{
  EchoGateway gateway;
  const std::string longHeader =
    "GET /a/b HTTP/1.1\r\nX: " + std::string(20000, 'x') + "\r\n\r\n";
  BOOST_TEST(StatusLineOf(gateway.Exchange(longHeader)).find(" 431 ") !=
             std::string::npos);
  const std::string longBody =
    "POST /a/b HTTP/1.1\r\nContent-Length: 2000000\r\n\r\n";
  BOOST_TEST(StatusLineOf(gateway.Exchange(longBody, false)).find(" 413 ") !=
             std::string::npos);
  BOOST_TEST(gateway.calls.empty());
}

// Guards against a field of a caller that ends the daemon: the container of
// fields throws. Trailers have no limit of their own, heads that of the
// configuration.
BOOST_AUTO_TEST_CASE(FieldsThatNoContainerHoldsAreRefused)
{
  EchoGateway gateway;
  gateway.Hooks().limits.maxHeaderBytes = 131'072;
  const std::string chunked =
    "POST /a/b HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n";
  for (const std::size_t size : { 65'534U, 65'535U, 65'536U, 70'000U }) {
    const std::string text(size, 'x');
    for (const std::string& request :
         { "GET /a/b HTTP/1.1\r\nField: " + text + "\r\n\r\n",
           "GET /a/b HTTP/1.1\r\n" + text + ": value\r\n\r\n",
           chunked + "Field: " + text + "\r\n\r\n",
           chunked + text + ": value\r\n\r\n" }) {
      const std::string answer = gateway.Exchange(request);
      BOOST_TEST(StatusLineOf(answer).find(" 431 ") != std::string::npos);
      BOOST_TEST(answer.find("Call-Outcome: not-run") != std::string::npos);
    }
  }
  BOOST_TEST(gateway.calls.empty());
  // The longest field that it holds.
  const std::string longest = gateway.Exchange(
    "GET /a/b HTTP/1.1\r\nField: " + std::string(65'533, 'x') + "\r\n\r\n");
  BOOST_TEST(StatusLineOf(longest) == "HTTP/1.1 200 OK");
}

// Guards against memory that grows while a caller sends a head, or trailers,
// without end: pieces that end with the begin of a field are each below the
// limit.
BOOST_AUTO_TEST_CASE(HeadsWithoutEndInPiecesAreRefused)
{
  for (const std::string& begin :
       { std::string("GET /a/b HTTP/1.1\r\nA"),
         std::string("POST /a/b HTTP/1.1\r\nTransfer-Encoding: chunked\r\n"
                     "\r\n0\r\nA") }) {
    EchoGateway gateway;
    boost::asio::io_context clientContext;
    tcp::socket socket(clientContext);
    socket.connect(gateway.Endpoint());
    boost::system::error_code error;
    std::string piece = begin;
    // Several times the limit of the head, 16 KiB.
    for (int count = 0; count < 30 && !error; ++count) {
      boost::asio::write(socket, boost::asio::buffer(piece), error);
      std::this_thread::sleep_for(1ms);
      piece = ": " + std::string(3000, 'b') + "\r\nA";
    }
    std::string answer;
    boost::asio::read_until(
      socket, boost::asio::dynamic_buffer(answer), "\r\n\r\n", error);
    BOOST_TEST(StatusLineOf(answer).find(" 431 ") != std::string::npos);
    BOOST_TEST(gateway.calls.empty());
  }
}

// Guards against memory that grows while a caller sends bytes without end in
// the framing of a body.
BOOST_DATA_TEST_CASE(BytesWithoutEndEndTheSession,
                     boost::unit_test::data::make(kEndlessStarts),
                     start)
{
  EchoGateway gateway;
  boost::asio::io_context clientContext;
  tcp::socket socket(clientContext);
  socket.connect(gateway.Endpoint());
  boost::system::error_code error;
  boost::asio::write(socket, boost::asio::buffer(start), error);
  const std::string block(64 * 1024, start.back());
  // Socket buffers hold a few megabytes.
  constexpr std::size_t kMaxBytes = 32 * 1024 * 1024;
  std::size_t sent = 0;
  while (!error && sent < kMaxBytes) {
    sent += boost::asio::write(socket, boost::asio::buffer(block), error);
  }
  BOOST_TEST(error.failed());
  BOOST_TEST(gateway.calls.empty());
}

// Guards against bodies of many callers that together exceed the memory of a
// host, each of them being within the limit of one.
BOOST_AUTO_TEST_CASE(BodiesBeyondTheMemoryAreRefused)
{
  const std::string head = "POST /s/a HTTP/1.1\r\nConnection: close\r\n";
  const std::string body(2000, 'x');
  const std::string stated = head + "Content-Length: 2000\r\n\r\n" + body;
  const std::string chunked =
    head + "Transfer-Encoding: chunked\r\n\r\n7d0\r\n" + body + "\r\n0\r\n\r\n";
  EchoGateway gateway;
  const auto memory = std::make_shared<core::MemoryBudget>(3000);
  gateway.Hooks().memory = memory;
  {
    core::MemoryLease other(memory);
    BOOST_REQUIRE(other.TryResize(1500));
    for (const std::string& request : { stated, chunked }) {
      const std::string answer = gateway.Exchange(request, false);
      BOOST_TEST(StatusLineOf(answer) == "HTTP/1.1 503 Service Unavailable");
      BOOST_TEST(answer.find("Call-Outcome: not-run") != std::string::npos);
    }
    BOOST_TEST(gateway.calls.empty());
    BOOST_TEST(memory->Used() == 1500U);
  }
  for (const std::string& request : { stated, chunked }) {
    BOOST_TEST(StatusLineOf(gateway.Exchange(request, false)) ==
               "HTTP/1.1 200 OK");
    gateway.calls.clear();
  }
  BOOST_TEST(memory->Used() == 0U);
}

// Guards against heads and framing of many callers that together exceed the
// memory of a host, and against refusals of small requests meanwhile.
BOOST_AUTO_TEST_CASE(BuffersBeyondTheMemoryAreRefused)
{
  const std::string longHead =
    "GET /s/a HTTP/1.1\r\nConnection: close\r\nX: " + std::string(12'000, 'x') +
    "\r\n\r\n";
  const std::string longLine = "POST /s/a HTTP/1.1\r\nConnection: close\r\n"
                               "Transfer-Encoding: chunked\r\n\r\n1;" +
                               std::string(20'000, 'x') + "\r\nb\r\n0\r\n\r\n";
  EchoGateway gateway;
  const auto memory = std::make_shared<core::MemoryBudget>(100'000);
  gateway.Hooks().memory = memory;
  {
    core::MemoryLease other(memory, core::MemoryUse::Buffer);
    BOOST_REQUIRE(other.TryResize(95'000));
    for (const std::string& request : { longHead, longLine }) {
      const std::string answer = gateway.Exchange(request, false);
      BOOST_TEST(StatusLineOf(answer) == "HTTP/1.1 503 Service Unavailable");
      BOOST_TEST(answer.find("Call-Outcome: not-run") != std::string::npos);
    }
    BOOST_TEST(gateway.calls.empty());
    BOOST_TEST(StatusLineOf(gateway.Exchange(
                 "GET /s/a HTTP/1.1\r\nConnection: close\r\n\r\n", false)) ==
               "HTTP/1.1 200 OK");
    BOOST_TEST(memory->Used() == 95'000U);
  }
  for (const std::string& request : { longHead, longLine }) {
    BOOST_TEST(StatusLineOf(gateway.Exchange(request, false)) ==
               "HTTP/1.1 200 OK");
    gateway.calls.clear();
  }
  BOOST_TEST(memory->Used() == 0U);
}

// Guards against a body that stops short of its end and keeps its memory from
// others, and against an answer that does not promise "not run".
BOOST_AUTO_TEST_CASE(StalledBodyIsRefusedAsNotRun)
{
  EchoGateway gateway;
  const auto memory = std::make_shared<core::MemoryBudget>(100'000);
  gateway.Hooks().memory = memory;
  boost::asio::io_context context;
  tcp::socket caller(context);
  caller.connect(gateway.Endpoint());
  boost::asio::write(
    caller,
    boost::asio::buffer("POST /a/b HTTP/1.1\r\nContent-Length: 50000\r\n\r\n" +
                        std::string(49'999, 'b')));
  std::size_t held = 0;
  const auto limit = std::chrono::steady_clock::now() + 5s;
  while (held < 49'999 && std::chrono::steady_clock::now() < limit) {
    gateway.ForEachSession(
      [&](const CallerSession& aSession) { held = aSession.Held().bytes; });
  }
  BOOST_TEST(held >= 49'999U);
  bool isRefused = false;
  const auto refuse = [&](CallerSession& aSession) {
    isRefused = aSession.RefuseStalled();
  };
  gateway.ForEachSession(refuse);
  BOOST_TEST(isRefused);
  std::string answer;
  boost::system::error_code error;
  boost::asio::read(caller, boost::asio::dynamic_buffer(answer), error);
  BOOST_TEST(StatusLineOf(answer) == "HTTP/1.1 503 Service Unavailable");
  BOOST_TEST(answer.find("Call-Outcome: not-run") != std::string::npos);
  BOOST_TEST(gateway.calls.empty());
  BOOST_TEST(memory->Used() == 0U);
  // Nothing is being read any more.
  isRefused = false;
  gateway.ForEachSession(refuse);
  BOOST_TEST(!isRefused);
}

// Guards against requests that get no answer because there are too many
// connections.
BOOST_AUTO_TEST_CASE(RequestOnAConnectionTooManyIsRefused)
{
  EchoGateway gateway;
  gateway.refusesAll = true;
  const std::string answer =
    gateway.Exchange("GET /s/a HTTP/1.1\r\n\r\n", false);
  BOOST_TEST(StatusLineOf(answer) == "HTTP/1.1 503 Service Unavailable");
  BOOST_TEST(answer.find("Call-Outcome: not-run") != std::string::npos);
  BOOST_TEST(gateway.calls.empty());
}

// Guards against an incomplete request being run.
BOOST_AUTO_TEST_CASE(IncompleteRequestsAreNotRun)
{
  EchoGateway gateway;
  gateway.Exchange("POST /a/b HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc");
  gateway.Exchange("GET /a/b HTTP/1.1\r\nHos");
  BOOST_TEST(gateway.calls.empty());
}

// Guards against a call that continues after its caller has closed the
// connection.
BOOST_AUTO_TEST_CASE(ClosedConnectionCancelsItsCall)
{
  EchoGateway gateway;
  {
    boost::asio::io_context clientContext;
    tcp::socket socket(clientContext);
    socket.connect(gateway.Endpoint());
    const std::string request = "GET /a/hang HTTP/1.1\r\n\r\n";
    boost::asio::write(socket, boost::asio::buffer(request));
    gateway.hangingCall.get_future().wait();
  }
  gateway.cancelled.get_future().wait();
  BOOST_TEST(gateway.calls.size() == 1U);
}

// Guards against a connection that ends with an unanswered request and leaves
// no trace of it.
BOOST_AUTO_TEST_CASE(IncompleteRequestsAreReported)
{
  using Stage = CallerConnectionEnd::Stage;
  EchoGateway gateway;
  gateway.Exchange("POST /a/b HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc");
  gateway.Exchange("GET /a/b HTTP/1.1\r\nHos");
  const auto cuts = gateway.WaitForCuts();
  BOOST_REQUIRE(cuts.size() == 2U);
  BOOST_TEST((cuts[0].stage == Stage::Body));
  BOOST_TEST((cuts[1].stage == Stage::Head));
  BOOST_TEST((cuts[0].closer == CallerConnectionEnd::Closer::Caller));
}

// Guards against reports of connections without an unanswered request.
BOOST_AUTO_TEST_CASE(AnsweredRequestsAreNotReported)
{
  EchoGateway gateway;
  gateway.Exchange("");
  gateway.Exchange("GET /s/a HTTP/1.1\r\n\r\n");
  gateway.Exchange("GET /s/a HTTP/1.1\r\n\r\nGET /s/b HTTP/1.1\r\n\r\n");
  BOOST_TEST(gateway.WaitForCuts().empty());
}

// Guards against a caller that closes its sending side after its request and
// gets no answer.
BOOST_AUTO_TEST_CASE(CallerThatClosesItsSendingSideIsAnswered)
{
  EchoGateway gateway;
  const std::string answer = gateway.Exchange("GET /a/hang HTTP/1.1\r\n\r\n");
  BOOST_TEST(answer.find("Error-Kind: caller_gone\r\n") != std::string::npos);
  BOOST_TEST(answer.find("Connection: close\r\n") != std::string::npos);
  BOOST_TEST(gateway.WaitForCuts().empty());
}

// Guards against a request that is started for a caller that has left, and
// against one that was sent before the close and gets no answer.
BOOST_AUTO_TEST_CASE(PipelinedRequestsBeforeACloseAreAnswered)
{
  EchoGateway gateway;
  const std::string answer = gateway.Exchange("GET /a/hang HTTP/1.1\r\n\r\n"
                                              "GET /a/b HTTP/1.1\r\n\r\n");
  const auto first = answer.find("Error-Kind: caller_gone\r\n");
  const auto second = answer.find("Error-Kind: caller_closed\r\n");
  BOOST_TEST(first < second);
  BOOST_TEST(second != std::string::npos);
  BOOST_TEST(gateway.calls.size() == 1U);
}

// Guards against a call that continues after its caller has closed a connection
// on which the bytes of another request wait.
BOOST_AUTO_TEST_CASE(ClosedConnectionWithUnreadBytesCancelsItsCall)
{
  EchoGateway gateway;
  {
    boost::asio::io_context clientContext;
    tcp::socket socket(clientContext);
    socket.connect(gateway.Endpoint());
    const std::string request = "GET /a/hang HTTP/1.1\r\n\r\n";
    boost::asio::write(socket, boost::asio::buffer(request));
    gateway.hangingCall.get_future().wait();
    boost::asio::write(socket, boost::asio::buffer(request));
    std::this_thread::sleep_for(50ms);
  }
  BOOST_TEST(
    (gateway.cancelled.get_future().wait_for(1s) == std::future_status::ready));
}

// Guards against a request that stalls and whose connection is closed without
// an answer.
BOOST_DATA_TEST_CASE(StalledRequestsAreAnswered,
                     boost::unit_test::data::make(
                       { "GET /a/b HTTP/1.1\r\nHos",
                         "POST /a/b HTTP/1.1\r\nContent-Length: 9\r\n\r\n",
                         "POST /a/b HTTP/1.1\r\nContent-Length: 9\r\n\r\nab" }),
                     request)
{
  EchoGateway gateway;
  gateway.Hooks().limits.requestTimeout = 100ms;
  const std::string answer = gateway.Exchange(request, false);
  BOOST_TEST(StatusLineOf(answer) == "HTTP/1.1 408 Request Timeout");
  BOOST_TEST(answer.find("Connection: close\r\n") != std::string::npos);
  BOOST_TEST(answer.find("Call-Outcome: not-run") != std::string::npos);
  BOOST_TEST(gateway.calls.empty());
}

// Guards against a body that takes longer than the limit for heads and whose
// connection is closed although it makes progress.
BOOST_AUTO_TEST_CASE(SlowBodiesAreRead)
{
  EchoGateway gateway;
  gateway.Hooks().limits.requestTimeout = 200ms;
  boost::asio::io_context clientContext;
  tcp::socket socket(clientContext);
  socket.connect(gateway.Endpoint());
  const std::string head =
    "POST /s/a HTTP/1.1\r\nConnection: close\r\nContent-Length: 8\r\n\r\n";
  boost::asio::write(socket, boost::asio::buffer(head));
  boost::system::error_code error;
  for (int part = 0; part < 8; ++part) {
    std::this_thread::sleep_for(60ms);
    boost::asio::write(socket, boost::asio::buffer("x", 1), error);
  }
  std::string answer;
  boost::asio::read(socket, boost::asio::dynamic_buffer(answer), error);
  BOOST_TEST(answer.find("s /a xxxxxxxx") != std::string::npos);
  // The caller's waiting time counts from the head.
  BOOST_TEST((gateway.calls.front().bodyTime >= 400ms));
}

// Guards against the same for chunks that each arrive whole.
BOOST_AUTO_TEST_CASE(SlowChunksAreRead)
{
  EchoGateway gateway;
  gateway.Hooks().limits.requestTimeout = 200ms;
  boost::asio::io_context clientContext;
  tcp::socket socket(clientContext);
  socket.connect(gateway.Endpoint());
  const std::string head = "POST /s/a HTTP/1.1\r\nConnection: close\r\n"
                           "Transfer-Encoding: chunked\r\n\r\n";
  const std::string chunk = "1\r\nx\r\n";
  const std::string end = "0\r\n\r\n";
  boost::asio::write(socket, boost::asio::buffer(head));
  boost::system::error_code error;
  for (int part = 0; part < 8; ++part) {
    std::this_thread::sleep_for(60ms);
    boost::asio::write(socket, boost::asio::buffer(chunk), error);
  }
  boost::asio::write(socket, boost::asio::buffer(end), error);
  std::string answer;
  boost::asio::read(socket, boost::asio::dynamic_buffer(answer), error);
  BOOST_REQUIRE(answer.find("s /a xxxxxxxx") != std::string::npos);
  BOOST_TEST((gateway.calls.front().bodyTime >= 400ms));
}

// Guards against the same where a packet ends within the size of a chunk.
BOOST_AUTO_TEST_CASE(SlowChunkSizesCountAsTimeOfTheBody)
{
  EchoGateway gateway;
  boost::asio::io_context clientContext;
  tcp::socket socket(clientContext);
  socket.connect(gateway.Endpoint());
  const std::string start = "POST /s/a HTTP/1.1\r\nConnection: close\r\n"
                            "Transfer-Encoding: chunked\r\n\r\n1";
  boost::asio::write(socket, boost::asio::buffer(start));
  std::this_thread::sleep_for(150ms);
  const std::string rest = "\r\nx\r\n0\r\n\r\n";
  boost::asio::write(socket, boost::asio::buffer(rest));
  std::string answer;
  boost::system::error_code error;
  boost::asio::read(socket, boost::asio::dynamic_buffer(answer), error);
  BOOST_TEST(answer.find("s /a x") != std::string::npos);
  BOOST_TEST((gateway.calls.front().bodyTime >= 100ms));
}

// Guards against a body that is waited for longer than its caller waits.
BOOST_AUTO_TEST_CASE(SlowBodiesEndWithTheirDeadline)
{
  EchoGateway gateway;
  boost::asio::io_context clientContext;
  tcp::socket socket(clientContext);
  socket.connect(gateway.Endpoint());
  const std::string start = "POST /s/a HTTP/1.1\r\nDeadline-Ms: 150\r\n"
                            "Content-Length: 8\r\n\r\nx";
  boost::asio::write(socket, boost::asio::buffer(start));
  std::string answer;
  boost::system::error_code error;
  boost::asio::read(socket, boost::asio::dynamic_buffer(answer), error);
  BOOST_TEST(StatusLineOf(answer) == "HTTP/1.1 408 Request Timeout");
}

// Guards against the same where the head comes with a whole chunk.
BOOST_AUTO_TEST_CASE(SlowChunksEndWithTheirDeadline)
{
  EchoGateway gateway;
  boost::asio::io_context clientContext;
  tcp::socket socket(clientContext);
  socket.connect(gateway.Endpoint());
  const std::string start = "POST /s/a HTTP/1.1\r\nConnection: close\r\n"
                            "Deadline-Ms: 150\r\n"
                            "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n";
  boost::asio::write(socket, boost::asio::buffer(start));
  std::this_thread::sleep_for(400ms);
  const std::string end = "0\r\n\r\n";
  boost::system::error_code error;
  boost::asio::write(socket, boost::asio::buffer(end), error);
  std::string answer;
  boost::asio::read(socket, boost::asio::dynamic_buffer(answer), error);
  BOOST_TEST(StatusLineOf(answer) == "HTTP/1.1 408 Request Timeout");
  BOOST_TEST(gateway.calls.empty());
}

// Guards against memory that whole chunks of unfinished bodies take uncounted.
BOOST_AUTO_TEST_CASE(WholeChunksCountInTheMemory)
{
  EchoGateway gateway;
  const auto memory =
    std::make_shared<core::MemoryBudget>(std::size_t{ 1024 } * 1024);
  gateway.Hooks().memory = memory;
  boost::asio::io_context clientContext;
  tcp::socket socket(clientContext);
  socket.connect(gateway.Endpoint());
  const std::string head = "POST /s/a HTTP/1.1\r\n"
                           "Transfer-Encoding: chunked\r\n\r\n";
  const std::string chunk = "2000\r\n" + std::string(0x2000, 'x') + "\r\n";
  constexpr std::size_t kChunks = 8;
  boost::asio::write(socket, boost::asio::buffer(head));
  for (std::size_t index = 0; index < kChunks; ++index) {
    boost::asio::write(socket, boost::asio::buffer(chunk));
  }
  const auto end = std::chrono::steady_clock::now() + 2s;
  while (memory->Used() < kChunks * 0x2000 &&
         std::chrono::steady_clock::now() < end) {
    std::this_thread::sleep_for(1ms);
  }
  BOOST_TEST(memory->Used() >= kChunks * 0x2000);
}

// Guards against a planned stop that closes a connection whose first request is
// on its way.
BOOST_AUTO_TEST_CASE(FirstRequestOfANewConnectionIsAnsweredInAPlannedStop)
{
  EchoGateway gateway;
  gateway.Hooks().isStopping = [] { return true; };
  boost::asio::io_context clientContext;
  tcp::socket socket(clientContext);
  socket.connect(gateway.Endpoint());
  while (gateway.OpenSessions() == 0) {
    std::this_thread::sleep_for(1ms);
  }
  gateway.CloseIdleSessions(std::chrono::steady_clock::now());
  boost::system::error_code error;
  const std::string request = "GET /s/a HTTP/1.1\r\n\r\n";
  boost::asio::write(socket, boost::asio::buffer(request), error);
  std::string answer;
  boost::asio::read(socket, boost::asio::dynamic_buffer(answer), error);
  BOOST_TEST(StatusLineOf(answer) == "HTTP/1.1 200 OK");
}

// Guards against the same where no request ever comes.
BOOST_AUTO_TEST_CASE(NewConnectionWithoutARequestIsClosedInAPlannedStop)
{
  EchoGateway gateway;
  boost::asio::io_context clientContext;
  tcp::socket socket(clientContext);
  socket.connect(gateway.Endpoint());
  while (gateway.OpenSessions() == 0) {
    std::this_thread::sleep_for(1ms);
  }
  gateway.CloseIdleSessions(std::chrono::steady_clock::now() + 2s);
  std::string answer;
  boost::system::error_code error;
  boost::asio::read(socket, boost::asio::dynamic_buffer(answer), error);
  BOOST_TEST(error == boost::asio::error::eof);
}

// Guards against a planned stop that closes a connection before the time that
// its last answer stated for the next request.
BOOST_AUTO_TEST_CASE(KeptConnectionIsNotClosedBeforeTheStatedTime)
{
  EchoGateway gateway;
  gateway.Hooks().keepAliveTime = 3s;
  boost::asio::io_context clientContext;
  tcp::socket socket(clientContext);
  socket.connect(gateway.Endpoint());
  const std::string request = "GET /s/a HTTP/1.1\r\n\r\n";
  boost::asio::write(socket, boost::asio::buffer(request));
  std::string answer;
  boost::asio::read_until(socket, boost::asio::dynamic_buffer(answer), "s /a ");
  BOOST_TEST(answer.find("Keep-Alive: timeout=3\r\n") != std::string::npos);
  const auto answered = std::chrono::steady_clock::now();
  // The second call returns after the effects of the first.
  gateway.CloseIdleSessions(answered + 3s);
  gateway.CloseIdleSessions(answered + 3s);
  BOOST_TEST(gateway.OpenSessions() == 1);
  boost::system::error_code error;
  boost::asio::write(socket, boost::asio::buffer(request), error);
  answer.clear();
  boost::asio::read_until(
    socket, boost::asio::dynamic_buffer(answer), "s /a ", error);
  BOOST_TEST(!error);
  while (gateway.OpenSessions() > 0) {
    gateway.CloseIdleSessions(answered + 10s);
  }
  boost::asio::read(socket, boost::asio::dynamic_buffer(answer), error);
  BOOST_TEST(error == boost::asio::error::eof);
}
