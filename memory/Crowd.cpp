#include "memory/Crowd.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <utility>

namespace fireflytrail::memory {

namespace asio = boost::asio;
using asio::ip::tcp;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

constexpr auto kReturnTime = 50ms;
constexpr auto kSlowInterval = 100ms;
constexpr std::size_t kBodyBytes = 200'000;
constexpr std::size_t kSmallPieceBytes = 700;
constexpr std::size_t kLargePieceBytes = std::size_t{ 64 } * 1024;
// Far over every limit of a body.
constexpr std::size_t kOverLimitBytes = std::size_t{ 1 } << 36U;
constexpr std::size_t kFields = 900;
constexpr std::size_t kRequestsInPart = 64;
// A frame of the largest size, and the part of it that is sent.
constexpr std::array<char, 4> kFrameLength{ 0, 0, 0x20, 0 };
constexpr std::size_t kFrameBytes = 200'000;

} // namespace

std::vector<std::string>
Crowd::Kinds(bool aIsPeerPort)
{
  if (aIsPeerPort) {
    return { "half-frames", "silent" };
  }
  return { "stalled-body", "stalled-pieces", "stalled-chunks", "stalled-chunk",
           "over-limit",   "endless-chunks", "short-fields",   "sent-ahead",
           "slow-senders", "slow-readers",   "half-heads",     "silent" };
}

Crowd::Crowd(asio::io_context& aContext, Plan aPlan)
  : context(aContext)
  , plan(std::move(aPlan))
  , random(this->plan.seed)
{
}

void
Crowd::Start()
{
  for (unsigned index = 0; index < this->plan.clients; ++index) {
    asio::co_spawn(
      this->context,
      [self = this->shared_from_this(), index] {
        return self->RunClient(index);
      },
      asio::detached);
  }
}

void
Crowd::Leave()
{
  this->isLeaving = true;
  for (Socket* const socket : this->open) {
    boost::system::error_code ignored;
    socket->close(ignored);
  }
}

Crowd::Awaitable
Crowd::RunClient(unsigned aIndex)
{
  co_await this->Wait(
    milliseconds(this->random() %
                 static_cast<std::uint64_t>(this->plan.arrivalTime.count())));
  while (!this->isLeaving) {
    tcp::socket socket(this->context);
    this->open.insert(&socket);
    boost::system::error_code error;
    if (this->plan.kind == "slow-readers") {
      constexpr int kSlowBufferBytes = 4096;
      socket.open(tcp::v4(), error);
      socket.set_option(
        asio::socket_base::receive_buffer_size(kSlowBufferBytes), error);
    }
    co_await socket.async_connect(
      this->plan.target, asio::redirect_error(asio::use_awaitable, error));
    if (!error) {
      ++this->connections;
      co_await this->Send(socket, aIndex);
    }
    // Stays until it is disconnected.
    std::array<char, 1024> part{};
    while (!error && !this->isLeaving) {
      co_await socket.async_read_some(
        asio::buffer(part), asio::redirect_error(asio::use_awaitable, error));
    }
    this->open.erase(&socket);
    co_await this->Wait(kReturnTime);
  }
}

Crowd::Awaitable
Crowd::Send(Socket& aSocket, unsigned aIndex)
{
  const std::string& kind = this->plan.kind;
  const std::string length = fmt::format("Content-Length: {}\r\n", kBodyBytes);
  const std::string chunked = "Transfer-Encoding: chunked\r\n";
  if (kind == "silent") {
    co_return;
  }
  if (this->plan.isPeerPort) {
    co_await this->SendFrames(aSocket);
  } else if (kind == "stalled-body" || kind == "stalled-pieces") {
    co_await this->SendBody(aSocket,
                            this->Head("POST", aIndex, length),
                            kind == "stalled-body" ? kBodyBytes
                                                   : kSmallPieceBytes,
                            false);
  } else if (kind == "stalled-chunks" || kind == "stalled-chunk") {
    co_await this->SendBody(aSocket,
                            this->Head("POST", aIndex, chunked),
                            kind == "stalled-chunk" ? kBodyBytes
                                                    : kSmallPieceBytes,
                            true);
  } else if (kind == "over-limit") {
    std::string text = this->Head(
      "POST", aIndex, fmt::format("Content-Length: {}\r\n", kOverLimitBytes));
    co_await this->Write(aSocket, text);
    co_await this->Repeat(aSocket, std::string(kLargePieceBytes, 'b'));
  } else if (kind == "endless-chunks") {
    co_await this->Write(aSocket, this->Head("POST", aIndex, chunked));
    co_await this->Repeat(aSocket,
                          fmt::format("{:x}\r\n{}\r\n",
                                      kLargePieceBytes,
                                      std::string(kLargePieceBytes, 'b')));
  } else if (kind == "short-fields") {
    std::string fields = length;
    for (std::size_t count = 0; count < kFields; ++count) {
      fields += fmt::format("f{}:\r\n", count);
    }
    co_await this->Write(aSocket, this->Head("POST", aIndex, fields) + "b");
  } else if (kind == "sent-ahead") {
    std::string requests;
    for (std::size_t count = 0; count < kRequestsInPart; ++count) {
      requests += this->Head("GET", aIndex, "");
    }
    co_await this->Repeat(aSocket, std::move(requests));
  } else if (kind == "slow-senders") {
    const bool isHead = aIndex % 2 == 0;
    std::string text = this->Head("POST", aIndex, isHead ? "" : length);
    if (isHead) {
      text.resize(text.size() - 2);
    } else {
      co_await this->Write(aSocket, text);
      text.clear();
    }
    co_await this->SendSlowly(aSocket, std::move(text));
  } else if (kind == "slow-readers") {
    co_await this->ReadSlowly(aSocket, this->Head("GET", aIndex, ""));
  } else if (kind == "half-heads") {
    constexpr std::size_t kHalfHeadBytes = std::size_t{ 12 } * 1024;
    std::string text = this->Head("GET", aIndex, "X-Filler: ");
    text.resize(text.size() - 4);
    text.resize(kHalfHeadBytes, 'h');
    co_await this->Write(aSocket, text);
  }
}

Crowd::Awaitable
Crowd::SendFrames(Socket& aSocket)
{
  std::string text(kFrameLength.begin(), kFrameLength.end());
  text.append(kFrameBytes, 'f');
  co_await this->Write(aSocket, text);
}

Crowd::Awaitable
Crowd::SendBody(Socket& aSocket,
                std::string aHead,
                std::size_t aPieceBytes,
                bool aIsChunked)
{
  co_await this->Write(aSocket, aHead);
  // One byte of the body, and of the last chunk, is missing.
  const std::size_t total = kBodyBytes - 1;
  for (std::size_t sent = 0; sent < total && aSocket.is_open();) {
    const std::size_t piece = std::min(aPieceBytes, total - sent);
    std::string text =
      aIsChunked ? fmt::format("{:x}\r\n", std::min(aPieceBytes, kBodyBytes))
                 : std::string();
    text.append(piece, 'b');
    sent += piece;
    if (aIsChunked && sent < total) {
      text += "\r\n";
    }
    co_await this->Write(aSocket, text);
  }
}

Crowd::Awaitable
Crowd::SendSlowly(Socket& aSocket, std::string aText)
{
  constexpr std::size_t kLongestField = 8000;
  for (std::size_t at = 0; aSocket.is_open() && at < kLongestField; ++at) {
    const std::string_view next =
      at < aText.size() ? std::string_view(aText).substr(at, 1) : "s";
    co_await this->Write(aSocket, next);
    co_await this->Wait(kSlowInterval);
  }
}

Crowd::Awaitable
Crowd::Repeat(Socket& aSocket, std::string aText)
{
  while (aSocket.is_open() && !this->isLeaving) {
    co_await this->Write(aSocket, aText);
  }
}

Crowd::Awaitable
Crowd::ReadSlowly(Socket& aSocket, std::string aHead)
{
  for (std::size_t count = 0; count < kRequestsInPart; ++count) {
    co_await this->Write(aSocket, aHead);
  }
  std::array<char, 64> part{};
  boost::system::error_code error;
  while (!error && aSocket.is_open() && !this->isLeaving) {
    co_await aSocket.async_read_some(
      asio::buffer(part), asio::redirect_error(asio::use_awaitable, error));
    co_await this->Wait(kSlowInterval);
  }
}

Crowd::Awaitable
Crowd::Write(Socket& aSocket, std::string_view aText)
{
  if (!aSocket.is_open()) {
    co_return;
  }
  boost::system::error_code error;
  co_await asio::async_write(aSocket,
                             asio::buffer(aText),
                             asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    boost::system::error_code ignored;
    aSocket.close(ignored);
  }
}

Crowd::Awaitable
Crowd::Wait(milliseconds aTime)
{
  asio::steady_timer timer(this->context, aTime);
  boost::system::error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

std::string
Crowd::Head(std::string_view aMethod, unsigned aIndex, std::string_view aFields)
{
  return fmt::format("{} {} HTTP/1.1\r\nHost: memory.example\r\n"
                     "X-Request-Id: c{:015x}\r\n"
                     "X-Request-Timeout-Ms: 5000\r\n{}\r\n",
                     aMethod,
                     this->plan.paths[aIndex % this->plan.paths.size()],
                     ++this->requests,
                     aFields);
}

} // namespace fireflytrail::memory
