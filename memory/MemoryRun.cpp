#include "memory/MemoryRun.h"

#include "memory/Bytes.h"
#include "memory/Crowd.h"
#include "memory/LoadServer.h"
#include "memory/ProcessSize.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <csignal>
#include <utility>

namespace fireflytrail::memory {

namespace asio = boost::asio;
namespace json = boost::json;
using asio::ip::tcp;
using namespace asio::experimental::awaitable_operators;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

constexpr auto kStartupTime = 2500ms;
constexpr auto kSampleInterval = 50ms;
constexpr auto kSmallInterval = 20ms;
// Time that a small request states, and time after which its caller counts it
// as not answered.
constexpr auto kSmallRequestTime = 1500ms;
constexpr auto kSmallTimeLimit = 2000ms;
// Longer than the time limit for heads, so that all connections have ended.
constexpr auto kSettleTime = 4000ms;
constexpr std::size_t kMaxBodyBytes = std::size_t{ 64 } << 20U;
// A body of the largest size alone takes all memory for bodies.
constexpr std::size_t kSlowBodyBytes = kMaxBodyBytes / 2;
constexpr std::size_t kMaxAnswerBytes = std::size_t{ 4 } << 20U;
constexpr std::size_t kMaxHeaderBytes = std::size_t{ 16 } * 1024;
constexpr std::size_t kPartBytes = std::size_t{ 64 } * 1024;
constexpr std::size_t kBytesPerKilobyte = 1024;
constexpr std::size_t kServers = 4;
// Ports of a daemon, in the order of their numbers.
constexpr std::array<std::string_view, 4> kPorts{ "callers",
                                                  "ready",
                                                  "operators",
                                                  "peers" };
// Part of the memory that must stay free: the platform kills the process that
// exceeds its limit.
constexpr double kUsableShare = 0.9;
// Small requests must be answered; while bodies fill the memory, a part of them
// may be refused.
constexpr double kMinServedRatio = 0.5;

/** Reads an answer to its end and keeps nothing of it. Returns its status, or 0
 * if there is none or it is not complete. */
asio::awaitable<unsigned>
ReadAnswer(tcp::socket& aSocket, milliseconds aPause, std::size_t aPartBytes)
{
  std::string head;
  boost::system::error_code error;
  const std::size_t headBytes = co_await asio::async_read_until(
    aSocket,
    asio::dynamic_buffer(head),
    "\r\n\r\n",
    asio::redirect_error(asio::use_awaitable, error));
  constexpr std::size_t kStatusOffset = 9;
  constexpr std::size_t kStatusDigits = 3;
  if (error || head.size() < kStatusOffset + kStatusDigits) {
    co_return 0;
  }
  unsigned status = 0;
  std::from_chars(head.data() + kStatusOffset,
                  head.data() + kStatusOffset + kStatusDigits,
                  status);
  std::size_t length = 0;
  constexpr std::string_view kLength = "Content-Length: ";
  if (const std::size_t at = head.find(kLength); at != std::string::npos) {
    std::from_chars(
      head.data() + at + kLength.size(), head.data() + head.size(), length);
  }
  std::size_t received = head.size() - headBytes;
  std::vector<char> part(aPartBytes);
  asio::steady_timer timer(aSocket.get_executor());
  while (received < length) {
    const std::size_t count = co_await aSocket.async_read_some(
      asio::buffer(part), asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      co_return 0;
    }
    received += count;
    if (aPause.count() > 0) {
      timer.expires_after(aPause);
      co_await timer.async_wait(asio::use_awaitable);
    }
  }
  co_return status;
}

/** Writes `aCount` bytes of a body, in chunks if asked for. */
asio::awaitable<boost::system::error_code>
WriteBody(tcp::socket& aSocket, std::size_t aCount, bool aIsChunked)
{
  boost::system::error_code error;
  for (std::size_t sent = 0; !error && sent < aCount;) {
    const std::size_t part = std::min(aCount - sent, kPartBytes);
    const std::string before =
      aIsChunked ? fmt::format("{:x}\r\n", part) : std::string();
    const std::string after = aIsChunked ? "\r\n" : "";
    const std::vector<asio::const_buffer> parts{ asio::buffer(before),
                                                 Bytes(part),
                                                 asio::buffer(after) };
    co_await asio::async_write(
      aSocket, parts, asio::redirect_error(asio::use_awaitable, error));
    sent += part;
  }
  if (aIsChunked && !error) {
    constexpr std::string_view kLastChunk = "0\r\n\r\n";
    co_await asio::async_write(
      aSocket,
      asio::buffer(kLastChunk),
      asio::redirect_error(asio::use_awaitable, error));
  }
  co_return error;
}

} // namespace

std::vector<std::string>
MemoryRun::Loads()
{
  std::vector<std::string> loads{
    "bodies",         "chunked-bodies", "slow-readers",  "slow-bodies",
    "endless-chunks", "idle",           "half-heads",    "chunk-lines",
    "long-heads",     "pipelined",      "configuration", "servers"
  };
  for (const std::string_view port : kPorts) {
    for (const std::string& kind : Crowd::Kinds(port == "peers")) {
      loads.push_back(fmt::format("{}@{}", kind, port));
    }
  }
  return loads;
}

bool
MemoryRun::IsCrowd() const
{
  return this->plan.load.find('@') != std::string::npos;
}

MemoryRun::MemoryRun(MemoryPlan aPlan)
  : plan(std::move(aPlan))
  , random(this->plan.seed)
  , store(this->context)
{
}

MemoryRun::~MemoryRun() = default;

MemoryResult
MemoryRun::Run()
{
  const auto storeAddress = asio::ip::make_address("127.0.40.250");
  const auto storeEndpoint = this->store.Open({ storeAddress, 0 });
  this->PutConfiguration(0);
  for (std::size_t index = 0; index < kServers; ++index) {
    this->servers.push_back(
      std::make_shared<LoadServer>(this->context, fmt::format("i-{}", index)));
    this->servers.back()->Open(
      { asio::ip::make_address(fmt::format("127.0.40.{}", 100 + index)), 0 });
    this->store.Put("servers",
                    fmt::format("i-{}", index),
                    this->servers.back()->Registration(1));
  }
  for (unsigned index = 0; index < this->plan.daemons; ++index) {
    std::string settings = this->plan.moreSettings;
    if (this->plan.isMemoryStated) {
      settings += fmt::format("{}\"memory_mb\": {}",
                              settings.empty() ? "" : ", ",
                              this->plan.memoryMegabytes);
    }
    if (this->plan.maxDescriptors > 0) {
      settings += fmt::format("{}\"max_descriptors\": {}",
                              settings.empty() ? "" : ", ",
                              this->plan.maxDescriptors);
    }
    this->daemons.push_back(
      std::make_unique<soak::DaemonProcess>(soak::DaemonProcess::Options{
        .program = this->plan.program,
        .folder = this->plan.folder,
        .address = fmt::format("127.0.40.{}", index + 1),
        .domain = "a",
        .firstPeer = fmt::format("127.0.40.{}", (index + 1) % 2 + 1),
        .storeAddress = storeAddress.to_string(),
        .storePort = storeEndpoint.port(),
        .basePort = this->plan.basePort,
        .hosts = this->plan.daemons,
        .moreSettings = settings }));
    this->daemons.back()->Start();
  }
  asio::co_spawn(
    this->context, [this] { return this->Sample(); }, asio::detached);
  asio::co_spawn(
    this->context, [this] { return this->RunTest(); }, asio::detached);
  this->context.run();
  this->Judge();
  return this->result;
}

void
MemoryRun::Judge()
{
  const double limit = kUsableShare * this->plan.memoryMegabytes *
                       static_cast<double>(kBytesPerKilobyte);
  const auto report = [this](std::string aText) {
    this->result.violations.push_back(std::move(aText));
  };
  if (static_cast<double>(this->result.peakWithUnreadKilobytes) > limit ||
      static_cast<double>(this->result.peakKilobytes) > limit) {
    report("a process exceeded nine tenths of its memory");
  }
  if (this->plan.maxDescriptors > 0 &&
      this->result.peakDescriptors > this->plan.maxDescriptors) {
    report("a process exceeded its descriptors");
  }
  if (this->IsCrowd()) {
    // How many others are served meanwhile depends on the machine's speed.
    return;
  }
  const std::size_t small = this->result.smallServed +
                            this->result.smallRefused + this->result.smallCut;
  if (this->result.smallCut > 0) {
    report("a small request got no answer in its time");
  }
  if (this->result.smallServed == 0 ||
      static_cast<double>(this->result.smallServed) <
        kMinServedRatio * static_cast<double>(small)) {
    report("too few small requests were served");
  }
}

MemoryRun::Awaitable
MemoryRun::RunTest()
{
  co_await this->Wait(kStartupTime);
  asio::co_spawn(
    this->context,
    [this] { return this->SendSmallRequests(); },
    asio::detached);
  this->StartLoad();
  co_await this->Wait(this->plan.loadTime);
  this->isOver = true;
  if (this->crowd) {
    this->result.largeRefused = this->crowd->Connections();
    this->crowd->Leave();
  }
  co_await this->Wait(kSettleTime);
  if (this->crowd) {
    co_await this->CheckAfterCrowd();
  }
  this->isEnding = true;
  for (const auto& daemon : this->daemons) {
    if (!daemon->IsRunning()) {
      this->result.violations.push_back(
        fmt::format("a process ended with status {}", daemon->ExitStatus()));
      continue;
    }
    const ProcessSize size = ProcessSize::Of(daemon->Pid());
    this->result.peakKilobytes =
      std::max(this->result.peakKilobytes, size.peakKilobytes);
    this->result.lastKilobytes =
      std::max(this->result.lastKilobytes, size.residentKilobytes);
    this->result.processorTime += size.processorTime;
  }
  this->daemons.clear();
  this->context.stop();
}

MemoryRun::Awaitable
MemoryRun::Sample()
{
  while (!this->isEnding) {
    for (const auto& daemon : this->daemons) {
      if (!daemon->IsRunning()) {
        continue;
      }
      const ProcessSize size = ProcessSize::Of(daemon->Pid());
      const std::size_t unread =
        (this->IsCrowd()
           ? KernelBytes(daemon->Pid(), daemon->CallerEndpoint(), kPorts.size())
           : UnreadBytes(daemon->Pid(), daemon->CallerEndpoint())) /
        kBytesPerKilobyte;
      this->result.peakKilobytes =
        std::max(this->result.peakKilobytes, size.peakKilobytes);
      this->result.peakWithUnreadKilobytes = std::max(
        this->result.peakWithUnreadKilobytes, size.residentKilobytes + unread);
      this->result.peakDescriptors =
        std::max(this->result.peakDescriptors, size.descriptors);
    }
    co_await this->Wait(kSampleInterval);
  }
}

void
MemoryRun::StartLoad()
{
  const std::string& load = this->plan.load;
  const auto spawn = [this](auto aFunction) {
    for (unsigned index = 0; index < this->plan.callers; ++index) {
      asio::co_spawn(this->context, aFunction, asio::detached);
    }
  };
  if (this->IsCrowd()) {
    this->StartCrowd();
  } else if (load == "bodies" || load == "chunked-bodies") {
    spawn([this, isChunked = load != "bodies"] {
      return this->SendLarge(isChunked);
    });
  } else if (load == "slow-readers") {
    spawn([this] { return this->ReadSlowly(); });
  } else if (load == "slow-bodies" || load == "endless-chunks") {
    spawn([this, isChunked = load != "slow-bodies"] {
      return this->SendSlowly(isChunked);
    });
  } else if (load == "idle") {
    spawn([this] { return this->HoldOpen(""); });
  } else if (load == "half-heads") {
    spawn([this] { return this->HoldOpen("GET /any/ HTTP/1.1\r\nHost: so"); });
  } else if (load == "long-heads") {
    spawn([this] {
      std::string start = this->Head("GET", "/any/", "X-Filler: ");
      start.resize(kMaxHeaderBytes - 8, 'h');
      return this->HoldOpen(std::move(start));
    });
  } else if (load == "chunk-lines") {
    spawn([this] {
      std::string start =
        this->Head("POST", "/any/", "Transfer-Encoding: chunked\r\n\r\n");
      start += "1;";
      start.append(kPartBytes - 1024, 'x');
      return this->HoldOpen(std::move(start));
    });
  } else if (load == "pipelined") {
    spawn([this] { return this->SendPipelined(); });
  } else if (load == "configuration") {
    asio::co_spawn(
      this->context,
      [this] { return this->ChangeConfiguration(); },
      asio::detached);
  } else {
    asio::co_spawn(
      this->context, [this] { return this->ChangeServers(); }, asio::detached);
  }
}

void
MemoryRun::StartCrowd()
{
  const std::size_t at = this->plan.load.find('@');
  const std::string port = this->plan.load.substr(at + 1);
  const auto number = std::ranges::find(kPorts, port) - kPorts.begin();
  tcp::endpoint target = this->daemons.front()->CallerEndpoint();
  target.port(static_cast<std::uint16_t>(target.port() + number));
  const std::vector<std::string> paths =
    port == "callers"
      ? std::vector<std::string>{ fmt::format("/any/{}", kMaxAnswerBytes),
                                  "/any/100",
                                  "/unrouted/100",
                                  "/ready" }
      : std::vector<std::string>{ "/ready", "/metrics", "/unrouted", "/dump" };
  this->crowd =
    std::make_shared<Crowd>(this->context,
                            Crowd::Plan{ .seed = this->plan.seed,
                                         .kind = this->plan.load.substr(0, at),
                                         .target = target,
                                         .isPeerPort = port == "peers",
                                         .paths = paths,
                                         .clients = this->plan.callers });
  this->crowd->Start();
  asio::co_spawn(
    this->context, [this] { return this->AskForReadiness(); }, asio::detached);
}

MemoryRun::Awaitable
MemoryRun::AskForReadiness()
{
  constexpr auto kInterval = 100ms;
  constexpr unsigned kOk = 200;
  const tcp::endpoint target = this->daemons.front()->ReadyEndpoint();
  while (!this->IsOver()) {
    co_await this->Wait(kInterval);
    ++this->result.readyAsked;
    const unsigned status = co_await this->AskOnce(target, "/ready");
    this->result.readyAnswered += status == kOk ? 1 : 0;
  }
}

asio::awaitable<unsigned>
MemoryRun::AskOnce(tcp::endpoint aTarget, std::string aPath)
{
  tcp::socket socket(this->context);
  boost::system::error_code error;
  const std::string head = this->Head("GET", aPath, "\r\n");
  // Another address than the crowd's.
  socket.open(tcp::v4(), error);
  socket.bind({ asio::ip::make_address("127.0.40.240"), 0 }, error);
  const auto exchange = [&]() -> asio::awaitable<unsigned> {
    co_await socket.async_connect(
      aTarget, asio::redirect_error(asio::use_awaitable, error));
    if (!error) {
      co_await asio::async_write(
        socket,
        asio::buffer(head),
        asio::redirect_error(asio::use_awaitable, error));
    }
    co_return error ? 0 : co_await ReadAnswer(socket, 0ms, kPartBytes);
  };
  // The crowd has gone; the time only ends a test whose daemon hangs.
  constexpr auto kHangTime = 20s;
  const auto ended = co_await (exchange() || this->Wait(kHangTime));
  co_return ended.index() == 0 ? std::get<0>(ended) : 0;
}

MemoryRun::Awaitable
MemoryRun::CheckAfterCrowd()
{
  const auto& daemon = this->daemons.front();
  constexpr unsigned kOk = 200;
  if (co_await this->AskOnce(daemon->CallerEndpoint(), "/any/100") != kOk) {
    this->result.violations.emplace_back(
      "an ordinary request was not answered afterwards");
  }
  if (co_await this->AskOnce(daemon->ReadyEndpoint(), "/ready") != kOk) {
    this->result.violations.emplace_back("not ready afterwards");
  }
}

MemoryRun::Awaitable
MemoryRun::SendSmallRequests()
{
  while (!this->IsOver()) {
    const auto exchange = [this]() -> asio::awaitable<unsigned> {
      auto socket = co_await this->Connect();
      if (!socket) {
        co_return 0;
      }
      const std::string head =
        this->Head("GET", "/any/100", "\r\n", kSmallRequestTime);
      boost::system::error_code error;
      co_await asio::async_write(
        *socket,
        asio::buffer(head),
        asio::redirect_error(asio::use_awaitable, error));
      co_return error ? 0 : co_await ReadAnswer(*socket, 0ms, kPartBytes);
    };
    const auto ended = co_await (exchange() || this->Wait(kSmallTimeLimit));
    const unsigned status = ended.index() == 0 ? std::get<0>(ended) : 0;
    ++(status == 200 ? this->result.smallServed
       : status != 0 ? this->result.smallRefused
                     : this->result.smallCut);
    co_await this->Wait(kSmallInterval);
  }
}

MemoryRun::Awaitable
MemoryRun::SendLarge(bool aIsChunked)
{
  while (!this->IsOver()) {
    auto socket = co_await this->Connect();
    if (!socket) {
      co_await this->Wait(kSampleInterval);
      continue;
    }
    // Bodies of all sizes up to the limit, most of them at its lower end.
    const std::uint64_t shift = this->RandomBelow(8);
    const std::size_t bytes =
      1 + this->RandomBelow((kMaxBodyBytes >> shift) - 1);
    const std::string head =
      this->Head("POST",
                 fmt::format("/any/{}{}",
                             1 + this->RandomBelow(kMaxAnswerBytes - 1),
                             aIsChunked ? "/chunked" : ""),
                 aIsChunked ? std::string("Transfer-Encoding: chunked\r\n\r\n")
                            : fmt::format("Content-Length: {}\r\n\r\n", bytes));
    boost::system::error_code error;
    co_await asio::async_write(
      *socket,
      asio::buffer(head),
      asio::redirect_error(asio::use_awaitable, error));
    // A refusal is answered, and the connection closed, while the body is sent.
    unsigned status = 0;
    const auto write = [&]() -> asio::awaitable<void> {
      co_await WriteBody(*socket, bytes, aIsChunked);
    };
    const auto read = [&]() -> asio::awaitable<void> {
      status = co_await ReadAnswer(*socket, 0ms, kPartBytes);
      boost::system::error_code ignored;
      socket->close(ignored);
    };
    co_await (write() && read());
    ++(status == 200 ? this->result.largeServed
       : status != 0 ? this->result.largeRefused
                     : this->result.largeCut);
  }
}

MemoryRun::Awaitable
MemoryRun::ReadSlowly()
{
  constexpr std::size_t kSlowPartBytes = 4096;
  while (!this->IsOver()) {
    auto socket = co_await this->Connect();
    if (!socket) {
      co_await this->Wait(kSampleInterval);
      continue;
    }
    const std::string head =
      this->Head("GET", fmt::format("/any/{}", kMaxAnswerBytes), "\r\n");
    boost::system::error_code error;
    socket->set_option(asio::socket_base::receive_buffer_size(kSlowPartBytes),
                       error);
    co_await asio::async_write(
      *socket,
      asio::buffer(head),
      asio::redirect_error(asio::use_awaitable, error));
    unsigned status = 0;
    const auto read = [&]() -> asio::awaitable<void> {
      status = co_await ReadAnswer(*socket, kSampleInterval, kSlowPartBytes);
    };
    co_await (read() || this->Wait(this->plan.loadTime));
    ++(status == 200 ? this->result.largeServed
       : status != 0 ? this->result.largeRefused
                     : this->result.largeCut);
  }
}

MemoryRun::Awaitable
MemoryRun::SendSlowly(bool aIsChunked)
{
  while (!this->IsOver()) {
    auto socket = co_await this->Connect();
    if (!socket) {
      co_await this->Wait(kSampleInterval);
      continue;
    }
    const std::string head = this->Head(
      "POST",
      "/any/100",
      aIsChunked ? std::string("Transfer-Encoding: chunked\r\n\r\n")
                 : fmt::format("Content-Length: {}\r\n\r\n", kSlowBodyBytes));
    boost::system::error_code error;
    co_await asio::async_write(
      *socket,
      asio::buffer(head),
      asio::redirect_error(asio::use_awaitable, error));
    while (!error && !this->IsOver()) {
      const std::size_t part = 1 + this->RandomBelow(kPartBytes);
      const std::string before =
        aIsChunked ? fmt::format("{:x}\r\n", part) : std::string();
      const std::string after = aIsChunked ? "\r\n" : "";
      const std::vector<asio::const_buffer> parts{ asio::buffer(before),
                                                   Bytes(part),
                                                   asio::buffer(after) };
      co_await asio::async_write(
        *socket, parts, asio::redirect_error(asio::use_awaitable, error));
      co_await this->Wait(milliseconds(5 + this->RandomBelow(20)));
    }
    ++this->result.largeRefused;
  }
}

MemoryRun::Awaitable
MemoryRun::HoldOpen(std::string aStart)
{
  // All at once would only test the queue of the listener.
  co_await this->Wait(milliseconds(this->RandomBelow(2000)));
  while (!this->IsOver()) {
    auto socket = co_await this->Connect();
    if (!socket) {
      co_await this->Wait(kSampleInterval);
      continue;
    }
    boost::system::error_code error;
    co_await asio::async_write(
      *socket,
      asio::buffer(aStart),
      asio::redirect_error(asio::use_awaitable, error));
    std::array<char, 1024> part{};
    while (!error) {
      co_await socket->async_read_some(
        asio::buffer(part), asio::redirect_error(asio::use_awaitable, error));
    }
    ++this->result.largeRefused;
    co_await this->Wait(kSampleInterval);
  }
}

MemoryRun::Awaitable
MemoryRun::SendPipelined()
{
  co_await this->Wait(milliseconds(this->RandomBelow(1000)));
  while (!this->IsOver()) {
    auto socket = co_await this->Connect();
    if (!socket) {
      co_await this->Wait(kSampleInterval);
      continue;
    }
    std::string requests;
    for (int count = 0; count < 200; ++count) {
      requests += this->Head(
        "GET", fmt::format("/any/{}", 1 + this->RandomBelow(20'000)), "\r\n");
    }
    boost::system::error_code error;
    const auto write = [&]() -> asio::awaitable<void> {
      while (!error && !this->IsOver()) {
        co_await asio::async_write(
          *socket,
          asio::buffer(requests),
          asio::redirect_error(asio::use_awaitable, error));
      }
    };
    co_await (write() || this->Wait(this->plan.loadTime));
    ++this->result.largeRefused;
  }
}

MemoryRun::Awaitable
MemoryRun::ChangeConfiguration()
{
  while (!this->IsOver()) {
    constexpr std::size_t kFillerBytes = 400'000;
    this->PutConfiguration(kFillerBytes);
    co_await this->Wait(milliseconds(50 + this->RandomBelow(100)));
  }
}

MemoryRun::Awaitable
MemoryRun::ChangeServers()
{
  for (std::uint64_t sequence = 1; !this->IsOver(); ++sequence) {
    const unsigned index =
      static_cast<unsigned>(this->RandomBelow(this->plan.callers));
    const std::string name = fmt::format("more-{}", index);
    if (this->RandomBelow(3) == 0) {
      this->store.Remove("servers", name);
    } else {
      this->store.Put("servers",
                      name,
                      this->servers[index % kServers]->Registration(sequence));
    }
    co_await this->Wait(milliseconds(this->RandomBelow(3)));
  }
}

MemoryRun::Awaitable
MemoryRun::Wait(milliseconds aTime)
{
  asio::steady_timer timer(this->context, aTime);
  boost::system::error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<std::optional<tcp::socket>>
MemoryRun::Connect()
{
  const std::size_t index = this->RandomBelow(this->daemons.size());
  tcp::socket socket(this->context);
  boost::system::error_code error;
  co_await socket.async_connect(
    this->daemons[index]->CallerEndpoint(),
    asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    co_return std::nullopt;
  }
  co_return std::move(socket);
}

std::string
MemoryRun::Head(std::string_view aMethod,
                std::string_view aTarget,
                std::string_view aFields,
                milliseconds aTimeLimit)
{
  return fmt::format("{} {} HTTP/1.1\r\nHost: memory.example\r\n"
                     "X-Request-Id: {:016x}\r\n"
                     "X-Request-Timeout-Ms: {}\r\n{}",
                     aMethod,
                     aTarget,
                     ++this->requestCount,
                     aTimeLimit.count(),
                     aFields);
}

void
MemoryRun::PutConfiguration(std::size_t aFillerBytes)
{
  const std::string version = fmt::format("r{}", ++this->configurationCount);
  json::array entries;
  const auto addRoute = [&entries](std::string_view aName,
                                   std::string_view aPrefix) {
    entries.push_back(
      json::object{ { "EntryType", "Routes" },
                    { "Metadata", json::object{ { "Name", aName } } },
                    { "Spec",
                      json::object{ { "Host", "memory.example" },
                                    { "PathPrefix", aPrefix },
                                    { "Type", "non_idempotent" },
                                    { "TimeoutMs", 5000 },
                                    { "TargetLatencyMs", 300 },
                                    { "Priority", 0 },
                                    { "Service", "s" },
                                    { "MaxAttempts", 3 } } } });
  };
  addRoute("r-any", "/any/");
  for (std::size_t bytes = 0, count = 0; bytes < aFillerBytes; ++count) {
    const std::string name =
      fmt::format("r-{}-{:x}", count, this->random() >> 40U);
    addRoute(name, "/filler/" + name + "/");
    constexpr std::size_t kRouteBytes = 220;
    bytes += kRouteBytes;
  }
  entries.push_back(
    json::object{ { "EntryType", "Services" },
                  { "Metadata", json::object{ { "Name", "s" } } },
                  { "Spec",
                    json::object{ { "HealthCheckPath", "/health" },
                                  { "MaxConnections", 260 },
                                  { "SlowStartS", 1.0 },
                                  { "WarmupPerS", 1000.0 } } } });
  entries.push_back(
    json::object{ { "EntryType", "Limits" },
                  { "Metadata", json::object() },
                  { "Spec",
                    json::object{ { "MaxHeaderBytes", kMaxHeaderBytes },
                                  { "MaxBodyBytes", kMaxBodyBytes },
                                  { "HeaderTimeoutMs", 3000 },
                                  { "IdleTimeoutMs", 15000 } } } });
  this->store.Put("config",
                  "main",
                  json::object{ { "Version", version },
                                { "Resources", std::move(entries) } });
}

std::uint64_t
MemoryRun::RandomBelow(std::uint64_t aLimit)
{
  return this->random() % aLimit;
}

} // namespace fireflytrail::memory
