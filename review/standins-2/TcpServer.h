#pragma once

#include <cstdint>
#include <functional>

namespace fireflytrail::review {

class Connection;

/** Listens on a free port of 127.0.0.1 until the process ends, with a thread
 * for each connection. */
class TcpServer
{
public:
  /** `aServe` is called on the thread of each connection, which is closed when
   * it returns. It must stay valid until the process ends. */
  explicit TcpServer(std::function<void(Connection&)> aServe);
  TcpServer(const TcpServer&) = delete;
  TcpServer& operator=(const TcpServer&) = delete;

  std::uint16_t Port() const { return this->port; }

private:
  std::uint16_t port = 0;
};

} // namespace fireflytrail::review
