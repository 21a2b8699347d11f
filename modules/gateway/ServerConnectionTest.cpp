#include "gateway/ServerConnection.h"

#include "core/MemoryBudget.h"
#include "core/MemoryLease.h"
#include "gateway/ServerPool.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <optional>
#include <thread>
#include <vector>

using namespace fireflytrail;
using namespace fireflytrail::gateway;
using calls::AttemptProgress;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

const std::string kAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n"
                            "Server-Load: in_flight=1, slots=4\r\n\r\nhello";

const std::string kChunkedHead =
  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

constexpr auto kUnsolicitedDelay = 20ms;

/**
 * Accepts connections and answers each request with the next script entry:
 * bytes to write, and whether to close the connection afterwards.
 */
class ScriptedServer
{
public:
  struct Step
  {
    std::string bytes;
    bool closes = false;
    /** Written a little later, without another request. */
    std::string unsolicitedBytes;
  };

  explicit ScriptedServer(std::deque<Step> aSteps)
    : steps(std::move(aSteps))
    , acceptor(this->context, tcp::endpoint(tcp::v4(), 0))
    , thread([this] { this->Run(); })
  {
  }

  ~ScriptedServer()
  {
    boost::system::error_code ignored;
    this->acceptor.cancel(ignored);
    ::shutdown(this->acceptor.native_handle(), SHUT_RDWR);
    this->thread.join();
  }

  tcp::endpoint Endpoint() const
  {
    return { boost::asio::ip::address_v4::loopback(),
             this->acceptor.local_endpoint().port() };
  }

  int connections = 0;

private:
  void Run()
  {
    while (!this->steps.empty()) {
      boost::system::error_code error;
      tcp::socket socket(this->context);
      this->acceptor.accept(socket, error);
      if (error) {
        return;
      }
      ++this->connections;
      boost::asio::streambuf buffer;
      while (!this->steps.empty()) {
        boost::asio::read_until(socket, buffer, "\r\n\r\n", error);
        if (error) {
          break;
        }
        buffer.consume(buffer.size());
        const Step step = this->steps.front();
        this->steps.pop_front();
        boost::asio::write(socket, boost::asio::buffer(step.bytes), error);
        if (!step.unsolicitedBytes.empty()) {
          std::this_thread::sleep_for(kUnsolicitedDelay);
          boost::asio::write(
            socket, boost::asio::buffer(step.unsolicitedBytes), error);
        }
        if (step.closes) {
          break;
        }
      }
    }
  }

  std::deque<Step> steps;
  boost::asio::io_context context;
  tcp::acceptor acceptor;
  std::thread thread;
};

class Client
{
public:
  explicit Client(
    const tcp::endpoint& aServer,
    std::shared_ptr<const ServerDialect> aDialect = ServerDialect::Native(),
    std::shared_ptr<core::MemoryBudget> aMemory = nullptr)
    : pool(std::make_shared<ServerPool>(this->context,
                                        aServer,
                                        4,
                                        std::string(),
                                        std::move(aDialect),
                                        std::move(aMemory)))
  {
  }

  /** Sends a call and runs the context until the call has ended or the time has
   * passed. */
  ServerExchange Send(std::chrono::milliseconds aTimeLeft = 10'000ms)
  {
    std::optional<ServerExchange> result;
    const auto call = std::make_shared<CallRequest>();
    call->target = "/lookup";
    call->id = this->id;
    const auto connection =
      this->pool->Send(call, aTimeLeft, 0, [&](ServerExchange aExchange) {
        result = std::move(aExchange);
      });
    this->context.restart();
    const auto end = std::chrono::steady_clock::now() + aTimeLeft;
    while (!result && this->context.run_one_until(end) != 0) {
    }
    if (!result) {
      result.emplace();
      result->progress = connection->Progress();
      this->pool->Cancel(*connection);
    }
    return *result;
  }

  boost::asio::io_context context;
  std::shared_ptr<ServerPool> pool;
  /** The id of the calls. */
  std::string id;
};

} // namespace

// Guards against losing parts of a complete answer or its load report.
BOOST_AUTO_TEST_CASE(PassesOnCompleteAnswerAndReusesTheConnection)
{
  ScriptedServer server({ { kAnswer }, { kAnswer, true } });
  Client client(server.Endpoint());
  for (int count = 0; count < 2; ++count) {
    const ServerExchange exchange = client.Send();
    BOOST_REQUIRE((exchange.progress == AttemptProgress::Answered));
    BOOST_TEST(exchange.answer->body == "hello");
    BOOST_TEST(exchange.serverLoad.value() == "in_flight=1, slots=4");
    BOOST_TEST(exchange.isNewConnection == (count == 0));
  }
}

// Guards against a truncated answer being passed on as complete, for truncation
// at every byte.
BOOST_DATA_TEST_CASE(AnswerTruncatedAtAnyByteIsNeverComplete,
                     boost::unit_test::data::xrange(std::size_t{ 0 },
                                                    kAnswer.size()),
                     sentSize)
{
  ScriptedServer server({ { kAnswer.substr(0, sentSize), true } });
  Client client(server.Endpoint());
  const ServerExchange exchange = client.Send();
  const auto expected = sentSize == 0 ? AttemptProgress::SentNoAnswer
                                      : AttemptProgress::AnswerTruncated;
  BOOST_TEST((exchange.progress == expected));
  BOOST_TEST(!exchange.answer);
}

// Guards against the same where answers may end with their connection: a head
// that stops in the middle must not pass for that of an answer without a
// length, with an empty or a short body.
BOOST_DATA_TEST_CASE(HeadTruncatedAtAnyByteIsNotAnAnswerWithoutLength,
                     boost::unit_test::data::xrange(std::size_t{ 1 },
                                                    kAnswer.size()),
                     sentSize)
{
  ServerDialect dialect = *ServerDialect::Native();
  dialect.allowsUnframedAnswers = true;
  const std::string chunked =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
    "Server-Load: in_flight=1\r\n\r\n"
    "5\r\nhello\r\n0\r\n\r\n";
  for (const std::string& answer : { kAnswer, chunked }) {
    ScriptedServer server(
      { { answer.substr(0, std::min(sentSize, answer.size() - 1)), true } });
    Client client(server.Endpoint(),
                  std::make_shared<const ServerDialect>(dialect));
    const ServerExchange exchange = client.Send();
    BOOST_TEST((exchange.progress == AttemptProgress::AnswerTruncated));
    BOOST_TEST(!exchange.answer);
  }
}

// Guards against a duplicated answer being matched to the next request on the
// same connection.
BOOST_AUTO_TEST_CASE(DuplicateAnswerIsDiscarded)
{
  const std::string other = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother";
  ScriptedServer server({ { kAnswer + kAnswer }, { other, true } });
  Client client(server.Endpoint());
  BOOST_TEST(client.Send().answer->body == "hello");
  BOOST_TEST(client.Send().answer->body == "other");
  BOOST_TEST(server.connections == 2);
}

// Guards against an answer that arrives after the deadline reaching a later
// request: the connection of the timed-out request must not be used again.
BOOST_AUTO_TEST_CASE(LateAnswerNeverReachesALaterRequest)
{
  const std::string other = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother";
  ScriptedServer server({ { "" }, { other, true } });
  Client client(server.Endpoint());
  const ServerExchange late = client.Send(20ms);
  BOOST_TEST((late.progress == AttemptProgress::SentNoAnswer));
  BOOST_TEST(client.pool->ConnectionCount() == 0U);
  BOOST_TEST(client.Send().answer->body == "other");
}

// Guards against treating an answer without a length as complete.
BOOST_AUTO_TEST_CASE(AnswerWithoutLengthIsInvalid)
{
  ScriptedServer server({ { "HTTP/1.1 200 OK\r\n\r\nhel", true } });
  Client client(server.Endpoint());
  BOOST_TEST((client.Send().progress == AttemptProgress::AnswerInvalid));
}

// Guards against passing on what is no answer of HTTP: the request may have
// run, so that neither its answer nor "not run" may be told.
BOOST_AUTO_TEST_CASE(StatusesOutsideTheClassesOfAnswersAreInvalid)
{
  constexpr int kStatuses = 1000;
  constexpr int kFirstFinal = 200;
  constexpr int kEnd = 600;
  for (int status = 0; status < kStatuses; ++status) {
    if (status == kFirstFinal) {
      status = kEnd;
    }
    ScriptedServer server({ { fmt::format("HTTP/1.1 {:03} Odd\r\n"
                                          "Content-Length: 0\r\n\r\n",
                                          status),
                              true } });
    Client client(server.Endpoint());
    const ServerExchange exchange = client.Send();
    BOOST_TEST((exchange.progress == AttemptProgress::AnswerInvalid), status);
    BOOST_TEST(!exchange.answer, status);
  }
}

// Guards against the same with heads that state two answers, or a body where
// there is none; and against treating its bytes as the next answer.
BOOST_AUTO_TEST_CASE(AmbiguousAnswersAreNotPassedOn)
{
  const std::string chunkedWithoutContent =
    "HTTP/1.1 204 None\r\nTransfer-Encoding: chunked\r\n\r\n"
    "5\r\nhello\r\n0\r\n\r\n";
  for (const std::string& bytes : std::vector<std::string>{
         "HTTP/1.1 200 OK\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
         "HTTP/1.1 101 Switch\r\nUpgrade: x\r\n\r\n",
         "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n",
         "HTTP/1.1 204 None\r\nContent-Length: 5\r\n\r\nhello",
         chunkedWithoutContent }) {
    ScriptedServer server({ { bytes, true } });
    Client client(server.Endpoint());
    BOOST_TEST((client.Send().progress == AttemptProgress::AnswerInvalid),
               bytes);
  }
  const std::string unchanged =
    "HTTP/1.1 304 Same\r\nContent-Length: 5\r\n\r\nhello";
  ScriptedServer server({ { unchanged }, { kAnswer, true } });
  Client client(server.Endpoint());
  BOOST_TEST(client.Send().answer->body.empty());
  BOOST_TEST(client.Send().answer->body == "hello");
  BOOST_TEST(server.connections == 2);
}

// Guards against losing the outcome "not run" when the server refused the
// request before running it, and against trusting the field with any other
// status.
BOOST_AUTO_TEST_CASE(RefusalIsRecognizedByStatusAndField)
{
  ScriptedServer server({ { "HTTP/1.1 503 Busy\r\nCall-Outcome: not-run\r\n"
                            "Content-Length: 0\r\n\r\n" },
                          { "HTTP/1.1 500 Error\r\nCall-Outcome: not-run\r\n"
                            "Content-Length: 0\r\n\r\n",
                            true } });
  Client client(server.Endpoint());
  BOOST_TEST((client.Send().progress == AttemptProgress::Refused));
  BOOST_TEST((client.Send().progress == AttemptProgress::Answered));
}

// Guards against reporting "outcome unknown" when no process was listening.
BOOST_AUTO_TEST_CASE(RefusedConnectSentNothing)
{
  boost::asio::io_context context;
  tcp::acceptor unused(context, tcp::endpoint(tcp::v4(), 0));
  const tcp::endpoint closed(boost::asio::ip::address_v4::loopback(),
                             unused.local_endpoint().port());
  unused.close();
  Client client(closed);
  const ServerExchange exchange = client.Send();
  BOOST_TEST((exchange.progress == AttemptProgress::NothingSent));
}

namespace {

/** A protocol whose answers name their request in the field `Id`. */
std::shared_ptr<const ServerDialect>
DialectWithIds()
{
  auto dialect = std::make_shared<ServerDialect>(*ServerDialect::Native());
  dialect->readAnswer = [native = dialect->readAnswer](
                          boost::beast::http::response_header<>& aHeader,
                          const CallRequest& aCall) {
    ServerReplyInfo info = native(aHeader, aCall);
    info.namesRequest = aHeader.find("Id") != aHeader.end();
    return info;
  };
  return dialect;
}

const std::string kRefusalWithoutId =
  "HTTP/1.1 503 Busy\r\nCall-Outcome: not-run\r\nContent-Length: 0\r\n\r\n";

} // namespace

// Guards against telling a caller "not run" about a request that the server
// runs, because an earlier refusal was written once more on the connection.
BOOST_AUTO_TEST_CASE(RepeatedRefusalIsNotTheAnswerToALaterRequest)
{
  const std::string answer =
    "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 3\r\n\r\nran";
  ScriptedServer server(
    { { kRefusalWithoutId }, { kRefusalWithoutId + answer, true } });
  Client client(server.Endpoint(), DialectWithIds());
  BOOST_TEST((client.Send().progress == AttemptProgress::Refused));
  const ServerExchange later = client.Send();
  BOOST_TEST(!later.isNewConnection);
  BOOST_REQUIRE((later.progress == AttemptProgress::Answered));
  BOOST_TEST(later.answer->body == "ran");
  BOOST_TEST(client.pool->ConnectionCount() == 0U);
}

// Guards against the same with bytes that had arrived before the request was
// written, in a protocol whose answers name no request.
BOOST_AUTO_TEST_CASE(BytesFromBeforeARequestAreNotItsAnswer)
{
  ScriptedServer server(
    { { kAnswer, false, kRefusalWithoutId }, { kAnswer, true } });
  Client client(server.Endpoint());
  BOOST_TEST((client.Send().progress == AttemptProgress::Answered));
  std::this_thread::sleep_for(3 * kUnsolicitedDelay);
  const ServerExchange later = client.Send();
  BOOST_TEST((later.progress == AttemptProgress::Answered));
  BOOST_TEST(later.isNewConnection);
}

// Guards against a request that waits, or memory that grows, while a faulty
// server sends bytes without end in a head, in a body, in the framing of a body
// or in other answers.
BOOST_AUTO_TEST_CASE(BytesWithoutEndEndTheAttempt)
{
  constexpr std::size_t kSize = 4 * ServerConnection::kMaxAnswerBytes;
  std::string answers;
  while (answers.size() < kSize) {
    answers += "HTTP/1.1 503 Busy\r\nCall-Outcome: not-run\r\n"
               "Content-Length: 1000\r\n\r\n" +
               std::string(1000, 'x');
  }
  const std::vector<std::string> endless = {
    "HTTP/1.1 200 OK\r\nField: " + std::string(kSize, 'x'),
    "HTTP/1.1 200 OK\r\n\r\n" + std::string(kSize, 'x'),
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
      [] {
        std::string chunks;
        while (chunks.size() < kSize) {
          chunks += "400\r\n" + std::string(0x400, 'x') + "\r\n";
        }
        return chunks;
      }(),
    std::string(kSize, 'x'),
    "HTTP/1.1 200 OK\r\n" +
      [] {
        std::string fields;
        while (fields.size() < kSize) {
          fields += "Field: x\r\n";
        }
        return fields;
      }(),
    kChunkedHead + "5;name=" + std::string(kSize, 'x'),
    kChunkedHead + std::string(kSize, '0'),
    kChunkedHead + "0\r\nField: " + std::string(kSize, 'x'),
    [] {
      std::string interim;
      while (interim.size() < kSize) {
        interim += "HTTP/1.1 100 Continue\r\n\r\n";
      }
      return interim;
    }(),
  };
  for (const std::string& bytes : endless) {
    ScriptedServer server({ { bytes } });
    Client client(server.Endpoint(), DialectWithIds());
    const ServerExchange exchange = client.Send();
    BOOST_TEST((exchange.progress == AttemptProgress::AnswerInvalid));
    BOOST_TEST(client.pool->ConnectionCount() == 0U);
  }
  // On a kept connection, other answers may come before the one that is due.
  ScriptedServer server({ { kRefusalWithoutId }, { answers } });
  Client client(server.Endpoint(), DialectWithIds());
  BOOST_TEST((client.Send().progress == AttemptProgress::Refused));
  BOOST_TEST((client.Send().progress == AttemptProgress::AnswerInvalid));
  BOOST_TEST(client.pool->ConnectionCount() == 0U);
}

// Guards against a field of a server that ends the daemon, and with it the
// requests of all its callers (review/7): the container of fields throws.
BOOST_AUTO_TEST_CASE(FieldsThatNoContainerHoldsAreInvalid)
{
  const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n";
  for (const std::size_t size : { 65'534U, 65'535U, 65'536U, 66'000U }) {
    const std::string text(size, 'x');
    for (const std::string& bytes :
         { head + "Field: " + text + "\r\n\r\n",
           head + text + ": value\r\n\r\n",
           kChunkedHead + "0\r\nField: " + text + "\r\n\r\n",
           kChunkedHead + "0\r\n" + text + ": value\r\n\r\n" }) {
      ScriptedServer server({ { bytes } });
      Client client(server.Endpoint(), DialectWithIds());
      // Heads may be longer by the length of the id, which servers echo.
      client.id = std::string(2000, 'i');
      BOOST_TEST((client.Send().progress == AttemptProgress::AnswerInvalid));
      BOOST_TEST(client.pool->ConnectionCount() == 0U);
    }
  }
}

// Guards against memory that grows while a server sends a head, or trailers,
// without end: pieces that end with the begin of a field are each below the
// limit.
BOOST_AUTO_TEST_CASE(HeadsWithoutEndInPiecesEndTheAttempt)
{
  for (const std::string& begin :
       { std::string("HTTP/1.1 200 OK\r\nA"), kChunkedHead + "0\r\nA" }) {
    boost::asio::io_context serverContext;
    tcp::acceptor acceptor(serverContext, { tcp::v4(), 0 });
    std::size_t sent = 0;
    std::thread thread([&] {
      boost::system::error_code error;
      tcp::socket socket = acceptor.accept();
      std::string request;
      boost::asio::read_until(
        socket, boost::asio::dynamic_buffer(request), "\r\n\r\n", error);
      std::string piece = begin;
      constexpr std::size_t kMaxBytes = 300'000;
      while (!error && sent < kMaxBytes) {
        sent += boost::asio::write(socket, boost::asio::buffer(piece), error);
        std::this_thread::sleep_for(500us);
        piece = ": " + std::string(200, 'b') + "\r\nA";
      }
    });
    Client client({ boost::asio::ip::address_v4::loopback(),
                    acceptor.local_endpoint().port() },
                  DialectWithIds());
    BOOST_TEST((client.Send().progress == AttemptProgress::AnswerInvalid));
    client.pool.reset();
    thread.join();
  }
}

// Guards against a body in a coding that is not decoded, passed on as if it
// were the server's body.
BOOST_AUTO_TEST_CASE(AnswerInAnUnknownTransferCodingIsInvalid)
{
  for (const char* coding : { "gzip", "gzip, chunked", "chunked, gzip" }) {
    ScriptedServer server(
      { { "HTTP/1.1 200 OK\r\nTransfer-Encoding: " + std::string(coding) +
            "\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
          true } });
    Client client(server.Endpoint(), DialectWithIds());
    BOOST_TEST((client.Send().progress == AttemptProgress::AnswerInvalid));
  }
}

// Guards against bodies that idle connections hold, which together exceed the
// memory of a host.
BOOST_AUTO_TEST_CASE(IdleConnectionHoldsNoCall)
{
  ScriptedServer server({ { kAnswer }, { kAnswer } });
  Client client(server.Endpoint());
  auto call = std::make_shared<CallRequest>();
  call->target = "/lookup";
  call->body = "body";
  const std::weak_ptr<CallRequest> held = call;
  bool hasEnded = false;
  client.pool->Send(
    std::move(call), 10'000ms, 0, [&](const ServerExchange& aExchange) {
      BOOST_TEST((aExchange.progress == AttemptProgress::Answered));
      hasEnded = true;
    });
  while (!hasEnded) {
    client.context.run_one();
  }
  client.context.poll();
  BOOST_TEST(client.pool->ConnectionCount() == 1U);
  BOOST_TEST(held.expired());
}

// Guards against an answer that is lost because it echoes a long id, or another
// long field, of the request.
BOOST_AUTO_TEST_CASE(AnswerWithALongHeadIsTaken)
{
  const std::string field(15'000, 'x');
  ScriptedServer server({ { .bytes = "HTTP/1.1 200 OK\r\nX-Echo: " + field +
                                     "\r\nContent-Length: 2\r\n\r\nhi" } });
  Client client(server.Endpoint());
  const ServerExchange exchange = client.Send();
  BOOST_TEST((exchange.progress == calls::AttemptProgress::Answered));
}

// Guards against answers that together exceed the memory of a host. An answer
// that does not fit is delivered when others have been.
BOOST_AUTO_TEST_CASE(AnswerWaitsForMemory)
{
  const std::string chunkedAnswer =
    kChunkedHead + "5\r\nhello\r\n5\r\nhello\r\n0\r\n\r\n";
  for (const std::string& bytes : { kAnswer, chunkedAnswer }) {
    const auto memory = std::make_shared<core::MemoryBudget>(12);
    auto other = std::make_unique<core::MemoryLease>(memory);
    BOOST_REQUIRE(other->TryResize(10));
    ScriptedServer server({ { bytes }, { bytes } });
    Client client(server.Endpoint(), ServerDialect::Native(), memory);
    BOOST_TEST((client.Send(100ms).progress != AttemptProgress::Answered));
    boost::asio::steady_timer timer(client.context, 50ms);
    timer.async_wait([&other](boost::system::error_code) { other.reset(); });
    ServerExchange exchange = client.Send(2000ms);
    BOOST_REQUIRE((exchange.progress == AttemptProgress::Answered));
    BOOST_TEST(memory->Used() == exchange.answer->body.size());
    exchange.answer = nullptr;
    BOOST_TEST(memory->Used() == 0U);
  }
}

// Guards against small answers that wait until callers have read large ones.
BOOST_AUTO_TEST_CASE(SmallAnswerDoesNotWaitForLargeOnes)
{
  const auto memory = std::make_shared<core::MemoryBudget>(100, 50);
  core::MemoryLease large(memory);
  BOOST_REQUIRE(large.TryResize(50));
  ScriptedServer server({ { kAnswer } });
  Client client(server.Endpoint(), ServerDialect::Native(), memory);
  BOOST_TEST((client.Send(500ms).progress == AttemptProgress::Answered));
}
