#include "TcpServer.h"

#include "Connection.h"

#include <thread>
#include <utility>

#include <netinet/in.h>
#include <sys/socket.h>

namespace fireflytrail::review {

TcpServer::TcpServer(std::function<void(Connection&)> aServe)
{
  const int listening = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  auto* const name = reinterpret_cast<sockaddr*>(&address);
  constexpr int kWaiting = 512;
  if (bind(listening, name, size) != 0 || listen(listening, kWaiting) != 0 ||
      getsockname(listening, name, &size) != 0) {
    return;
  }
  this->port = ntohs(address.sin_port);
  std::thread([listening, serve = std::move(aServe)] {
    for (;;) {
      const int accepted = accept4(listening, nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted < 0) {
        continue;
      }
      std::thread([accepted, serve] {
        Connection connection(accepted);
        serve(connection);
      }).detach();
    }
  }).detach();
}

} // namespace fireflytrail::review
