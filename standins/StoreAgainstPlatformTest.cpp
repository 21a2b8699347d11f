#include "standins/PlatformStandin.h"
#include "store/BlockingStore.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/json/parse.hpp>
#include <boost/test/unit_test.hpp>

#include <future>
#include <memory>
#include <string>
#include <thread>

using namespace fireflytrail;
using namespace fireflytrail::store;
using std::chrono::milliseconds;

namespace {

/** Runs a platform stand-in on a free port and a separate thread. */
class PlatformFixture
{
public:
  PlatformFixture()
    : work(boost::asio::make_work_guard(this->context))
    , platform(this->context, { boost::asio::ip::address_v4::loopback(), 0 })
    , thread([this]() { this->context.run(); })
  {
  }

  ~PlatformFixture()
  {
    this->context.stop();
    this->thread.join();
  }

  boost::asio::ip::tcp::endpoint Endpoint() const
  {
    const std::string address = this->platform.Address();
    const auto colon = address.rfind(':');
    return { boost::asio::ip::make_address(address.substr(0, colon)),
             static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))) };
  }

  void Control(const std::string& aText)
  {
    std::promise<std::string> reason;
    boost::asio::post(this->context, [&]() {
      reason.set_value(
        this->platform.Control(boost::json::parse(aText).as_object()));
    });
    BOOST_TEST(reason.get_future().get() == "");
  }

  boost::asio::io_context context{ 1 };
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
  standins::PlatformStandin platform;
  std::thread thread;
};

StoreClientSettings
ShortTimeoutSettings()
{
  return { .requestTimeout = milliseconds(300),
           .watchTime = milliseconds(200),
           .operationLimit = milliseconds(1500),
           .firstBackoff = milliseconds(20),
           .longestBackoff = milliseconds(100) };
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(StoreAgainstPlatformTest, PlatformFixture)

// Guards against encoding or decoding errors in the HTTP transport: versions,
// bodies, conflicts, watches and the host list.
BOOST_AUTO_TEST_CASE(AllOperationsWorkOverHttp)
{
  BlockingStore store(this->Endpoint(), ShortTimeoutSettings());
  BOOST_TEST((store.Read("desired").status == StoreStatus::NotFound));
  const std::string body = R"({"text":")" + std::string(900'000, 'x') + "\"}";
  const StoreResult written = store.Write("desired", body, 0);
  BOOST_TEST((written.status == StoreStatus::Ok));
  BOOST_TEST(written.object.version == 1U);
  const StoreResult read = store.Read("desired");
  BOOST_TEST((read.status == StoreStatus::Ok));
  BOOST_TEST((read.object.body == body));
  const StoreResult conflict = store.Write("desired", "{}", 0);
  BOOST_TEST((conflict.status == StoreStatus::Conflict));
  BOOST_TEST(conflict.object.version == 1U);
  BOOST_TEST((store.Watch("desired", 1).status == StoreStatus::NotModified));
  BOOST_TEST((store.Watch("desired", 0).status == StoreStatus::Ok));
  this->Control(R"({"add_hosts":[{"id":"s1","kind":"server","service":"a",
    "version":"1","address":"127.0.0.1:1","domain":"d","region":"r"}]})");
  const HostsResult hosts = store.Hosts();
  BOOST_TEST((hosts.status == StoreStatus::Ok));
  BOOST_REQUIRE(hosts.list.hosts.size() == 1U);
  BOOST_TEST(hosts.list.hosts[0].id == "s1");
}

// Guards against endless retries of a value that the store refuses.
BOOST_AUTO_TEST_CASE(TooLargeValueIsRefused)
{
  BlockingStore store(this->Endpoint(), ShortTimeoutSettings());
  const std::string body = R"({"text":")" + std::string(1'100'000, 'x') + "\"}";
  const StoreResult result = store.Write("desired", body, 0);
  BOOST_TEST((result.status == StoreStatus::Refused));
  BOOST_TEST(result.detail == "store answered 413");
}

// Guards against writing twice or reporting a conflict with its own write when
// the connection closes before the answer to the first write arrives.
BOOST_AUTO_TEST_CASE(LostWriteAnswerIsRecoveredByRead)
{
  this->Control(R"({"lose_write_answers":1})");
  BlockingStore store(this->Endpoint(), ShortTimeoutSettings());
  const StoreResult written = store.Write("desired", R"({"a":1})", 0);
  BOOST_TEST((written.status == StoreStatus::Ok));
  BOOST_TEST(written.object.version == 1U);
}

// Guards against operations that block indefinitely while the store is down or
// does not answer, and against not recovering afterwards.
BOOST_AUTO_TEST_CASE(OutageAndUnresponsiveStoreAreUnavailable)
{
  BlockingStore store(this->Endpoint(), ShortTimeoutSettings());
  BOOST_TEST((store.Write("desired", "{}", 0).status == StoreStatus::Ok));
  this->Control(R"({"down":true})");
  BOOST_TEST((store.Read("desired").status == StoreStatus::Unavailable));
  this->Control(R"({"down":false,"silent":true})");
  const StoreResult silent = store.Read("desired");
  BOOST_TEST((silent.status == StoreStatus::Unavailable));
  BOOST_TEST(silent.detail == "no answer in time");
  this->Control(R"({"silent":false})");
  BOOST_TEST((store.Read("desired").status == StoreStatus::Ok));
}

// Guards against reporting the outcome of a write that was never sent as
// unknown, and against an error that does not say what failed.
BOOST_AUTO_TEST_CASE(RefusedConnectionIsUnavailableWithReason)
{
  auto endpoint = this->Endpoint();
  {
    boost::asio::io_context otherContext;
    boost::asio::ip::tcp::acceptor boundAcceptor(
      otherContext, { boost::asio::ip::address_v4::loopback(), 0 }, false);
    endpoint = boundAcceptor.local_endpoint();
  }
  BlockingStore store(endpoint, ShortTimeoutSettings());
  const StoreResult result = store.Write("desired", "{}", 0);
  // No byte was sent, so the write certainly did not take place.
  BOOST_TEST((result.status == StoreStatus::Unavailable));
  BOOST_TEST(result.detail == "connect: Connection refused");
}

// Guards against a platform stand-in that does not enforce its rate limits,
// which would hide clients that call too often.
BOOST_AUTO_TEST_CASE(CallsOverTheRateLimitAreRefused)
{
  this->Control(R"({"write_limit":0})");
  BlockingStore store(this->Endpoint(), ShortTimeoutSettings());
  const StoreResult result = store.Write("desired", "{}", 0);
  BOOST_TEST((result.status == StoreStatus::Unavailable));
  BOOST_TEST(result.detail == "store answered 429");
}

// Guards against replacing a host list by an older one.
BOOST_AUTO_TEST_CASE(LaggingHostListIsStale)
{
  this->Control(R"({"add_hosts":[{"id":"s1","kind":"server","service":"a",
    "version":"1","address":"127.0.0.1:1","domain":"d","region":"r"}]})");
  BlockingStore store(this->Endpoint(), ShortTimeoutSettings());
  const HostsResult current = store.Hosts();
  BOOST_TEST(current.list.version == 2U);
  this->Control(R"({"leaving_hosts":["s1"],"list_lag_ms":3600000})");
  BOOST_TEST((store.Hosts().status == StoreStatus::Stale));
  this->Control(R"({"list_lag_ms":0})");
  const HostsResult later = store.Hosts();
  BOOST_TEST(later.list.version == 3U);
  BOOST_TEST((later.list.hosts.at(0).state == HostState::Leaving));
}

BOOST_AUTO_TEST_SUITE_END()
