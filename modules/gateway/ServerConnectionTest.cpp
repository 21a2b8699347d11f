#include "gateway/ServerConnection.h"
#include "gateway/ServerPool.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <deque>
#include <optional>
#include <thread>

using namespace fireflytrail;
using namespace fireflytrail::gateway;
using calls::AttemptProgress;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

const std::string kAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n"
                            "Server-Load: in_flight=1, slots=4\r\n\r\nhello";

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
  explicit Client(const tcp::endpoint& aServer)
    : pool(std::make_shared<ServerPool>(this->context, aServer, 4))
  {
  }

  /** Sends a call and runs the context until the call has ended or the time has
   * passed. */
  ServerExchange Send(std::chrono::milliseconds aTimeLeft = 10'000ms)
  {
    std::optional<ServerExchange> result;
    CallRequest call;
    call.target = "/lookup";
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

private:
  boost::asio::io_context context;

public:
  std::shared_ptr<ServerPool> pool;
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
