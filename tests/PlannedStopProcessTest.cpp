#include "ProcessFleet.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/json/parse.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <atomic>
#include <chrono>
#include <csignal>
#include <string>
#include <string_view>
#include <thread>

using namespace fireflytrail;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

/** Requests that must not be repeated, may take 2.5 s and are to be answered in
 * 0.5 s. */
constexpr const char* kConfiguration =
  R"({"Version":"r2","Resources":[)"
  R"({"EntryType":"Routes","Metadata":{"Name":"r"},"Spec":{"Host":"h",)"
  R"("PathPrefix":"/","Type":"non_idempotent","TimeoutMs":2500,)"
  R"("TargetLatencyMs":500,"Service":"s","MaxAttempts":2}},)"
  R"({"EntryType":"Services","Metadata":{"Name":"s"},"Spec":{}}]})";

/** A caller with one connection that it keeps. */
class KeepingCaller
{
public:
  explicit KeepingCaller(const char* aHost)
  {
    this->socket.connect({ boost::asio::ip::make_address(aHost),
                           test::ProcessFleet::kCallerPort });
  }

  /** Sends a request and returns the head of its answer. */
  std::string Send(std::string_view aTarget)
  {
    const std::string request = "POST " + std::string(aTarget) +
                                " HTTP/1.1\r\nHost: h\r\nX-Request-Id: id-2\r\n"
                                "X-Request-Timeout-Ms: 5000\r\n"
                                "Content-Length: 0\r\n\r\n";
    boost::system::error_code error;
    boost::asio::write(this->socket, boost::asio::buffer(request), error);
    const std::size_t size =
      boost::asio::read_until(this->socket,
                              boost::asio::dynamic_buffer(this->received),
                              "\r\n\r\n",
                              error);
    const std::string head = this->received.substr(0, size);
    // A body is the name of a server, of three characters.
    const std::size_t bodySize = head.starts_with("HTTP/1.1 200 ") ? 3 : 0;
    while (!error && this->received.size() < size + bodySize) {
      std::array<char, 64> part{};
      const std::size_t count =
        this->socket.read_some(boost::asio::buffer(part), error);
      this->received.append(part.data(), count);
    }
    this->received.clear();
    return head;
  }

private:
  std::string received;
  boost::asio::io_context context;
  tcp::socket socket{ this->context };
};

} // namespace

// Guards against requests that arrive late in a planned stop on a connection
// that was kept, are sent to a server and are broken off while it is at work
// (review/9). What has not run is told at once, and the rest ends in time.
BOOST_FIXTURE_TEST_CASE(LateRequestsOfAStopAreNotBrokenOff, test::ProcessFleet)
{
  std::atomic<int> lateRuns = 0;
  this->workTime = [&lateRuns](const soak::HttpRequest& aRequest) {
    const bool isLate = aRequest.target() == "/late";
    lateRuns += isLate ? 1 : 0;
    return aRequest.target() == "/x" ? 0ms : 1900ms;
  };
  this->store.Put("config", "main", boost::json::parse(kConfiguration));
  this->Start();
  this->AwaitService();
  KeepingCaller early(kHosts[0]);
  KeepingCaller late(kHosts[0]);
  BOOST_TEST(IsServed(early.Send("/x")));
  BOOST_TEST(IsServed(late.Send("/x")));
  this->daemons[0]->SendSignal(SIGTERM);
  const auto stoppedAt = std::chrono::steady_clock::now();
  std::this_thread::sleep_until(stoppedAt + 2s);
  std::string earlyAnswer;
  std::thread thread([&] { earlyAnswer = early.Send("/early"); });
  std::this_thread::sleep_until(stoppedAt + 3500ms);
  this->daemons[0]->SendSignal(SIGTERM);
  this->daemons[0]->SendSignal(SIGHUP);
  // The answers before the stop state 4 s (`Keep-Alive`).
  std::this_thread::sleep_until(stoppedAt + 3800ms);
  BOOST_TEST(late.Send("/late").starts_with("HTTP/1.1 503 "));
  thread.join();
  BOOST_TEST(IsServed(earlyAnswer));
  BOOST_TEST(this->daemons[0]->WaitUntilExit(3s));
  BOOST_TEST(this->daemons[0]->IsExitAsRequested());
  BOOST_TEST(lateRuns == 0);
}
