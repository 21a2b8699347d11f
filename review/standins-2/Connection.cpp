#include "Connection.h"

#include <algorithm>
#include <array>
#include <cstdlib>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace fireflytrail::review {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

Connection::Connection(int aDescriptor)
  : descriptor(aDescriptor)
{
  const int on = 1;
  setsockopt(this->descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

Connection::~Connection()
{
  close(this->descriptor);
}

std::unique_ptr<Connection>
Connection::Open(std::uint16_t aPort)
{
  const int opened = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (connect(opened,
              reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    close(opened);
    return nullptr;
  }
  return std::make_unique<Connection>(opened);
}

bool
Connection::Write(std::string_view aBytes)
{
  while (!aBytes.empty()) {
    const ssize_t count =
      send(this->descriptor, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    aBytes.remove_prefix(static_cast<std::size_t>(count));
  }
  return true;
}

bool
Connection::Fill(steady_clock::time_point aUntil)
{
  const auto left = std::chrono::ceil<milliseconds>(
    std::max(aUntil - steady_clock::now(), steady_clock::duration(0)));
  pollfd state{ this->descriptor, POLLIN, 0 };
  if (poll(&state, 1, static_cast<int>(left.count())) != 1) {
    this->end = End::TimedOut;
    return false;
  }
  std::array<char, 65536> part{};
  const ssize_t count = recv(this->descriptor, part.data(), part.size(), 0);
  if (count <= 0) {
    this->end = End::Closed;
    return false;
  }
  this->received.append(part.data(), static_cast<std::size_t>(count));
  return true;
}

std::optional<HttpMessage>
Connection::Read(milliseconds aTimeout)
{
  const auto until = steady_clock::now() + aTimeout;
  std::size_t headEnd = std::string::npos;
  while ((headEnd = this->received.find("\r\n\r\n")) == std::string::npos) {
    if (!this->Fill(until)) {
      return std::nullopt;
    }
  }
  HttpMessage message;
  const std::string head = this->received.substr(0, headEnd + 2);
  std::size_t begin = head.find("\r\n");
  message.startLine = head.substr(0, begin);
  begin += 2;
  while (begin < head.size()) {
    const std::size_t lineEnd = head.find("\r\n", begin);
    const std::string line = head.substr(begin, lineEnd - begin);
    const std::size_t colon = std::min(line.find(':'), line.size());
    const std::size_t value =
      std::min(line.find_first_not_of(" \t", colon + 1), line.size());
    message.fields.emplace_back(line.substr(0, colon), line.substr(value));
    begin = lineEnd + 2;
  }
  const std::size_t length =
    std::strtoul(message.Field("Content-Length").c_str(), nullptr, 10);
  while (this->received.size() < headEnd + 4 + length) {
    if (!this->Fill(until)) {
      return std::nullopt;
    }
  }
  message.body = this->received.substr(headEnd + 4, length);
  this->received.erase(0, headEnd + 4 + length);
  return message;
}

bool
Connection::WaitForClose(milliseconds aTimeout)
{
  pollfd state{ this->descriptor, POLLRDHUP, 0 };
  return poll(&state, 1, static_cast<int>(aTimeout.count())) == 1;
}

} // namespace fireflytrail::review
