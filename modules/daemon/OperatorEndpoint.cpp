#include "daemon/OperatorEndpoint.h"

#include "gateway/CallAnswer.h"
#include "gateway/HeldConnection.h"
#include "gateway/TcpListener.h"

#include <cassert>
#include <chrono>
#include <map>
#include <utility>

namespace fireflytrail::daemon {

using boost::asio::ip::tcp;

namespace {

// Time in which the head of a request must arrive. Balancers and operators send
// it at once.
constexpr std::chrono::seconds kRequestTimeout{ 5 };
// No page is longer than a few times this.
constexpr int kSocketBufferBytes = 16 * 1024;

} // namespace

OperatorEndpoint::OperatorEndpoint(boost::asio::io_context& aContext,
                                   OperatorPages aPages,
                                   OperatorLimits aLimits)
  : pages(std::move(aPages))
  , limits(std::move(aLimits))
  , hooks(std::make_shared<gateway::CallerSessionHooks>())
{
  assert(this->pages.metrics && this->pages.dump && this->pages.status);
  this->hooks->handleCall =
    [this](const gateway::CallRequest& aRequest,
           const gateway::CallerSessionHooks::AnswerFunction& aOnAnswer)
    -> gateway::CallerSessionHooks::CancelFunction {
    aOnAnswer(this->Answer(aRequest));
    return {};
  };
  this->hooks->isStopping = [] { return false; };
  this->hooks->sessionCountChanged = [](int) {};
  this->hooks->memory = this->limits.memory;
  this->hooks->limits.maxBodyBytes = 0;
  this->hooks->limits.requestTimeout = kRequestTimeout;
  this->listener = std::make_shared<gateway::TcpListener>(
    aContext,
    [this](tcp::socket aSocket) { this->OnConnected(std::move(aSocket)); },
    gateway::TcpListenerHooks{ .mayAccept = nullptr,
                               .onFailure = nullptr,
                               .simulatedError = nullptr,
                               .receiveBufferBytes = kSocketBufferBytes });
}

void
OperatorEndpoint::OnConnected(tcp::socket aSocket)
{
  this->MakePlace();
  boost::system::error_code ignored;
  const auto address = aSocket.remote_endpoint(ignored).address();
  const auto session =
    std::make_shared<gateway::CallerSession>(std::move(aSocket), this->hooks);
  session->SetSocketBuffers(kSocketBufferBytes);
  this->connections.push_back({ session, address });
  session->Start();
}

void
OperatorEndpoint::MakePlace()
{
  if (this->connections.size() < this->limits.maxConnections) {
    return;
  }
  std::erase_if(this->connections, [](const Connection& aConnection) {
    return aConnection.session.expired();
  });
  if (this->connections.size() < this->limits.maxConnections) {
    return;
  }
  std::map<boost::asio::ip::address, std::size_t> ofAddresses;
  for (const Connection& connection : this->connections) {
    ++ofAddresses[connection.address];
  }
  std::vector<gateway::HeldConnection> held;
  for (const Connection& connection : this->connections) {
    held.push_back(connection.session.lock()->Held());
    held.back().ofAddress = ofAddresses[connection.address];
  }
  const auto oldest = gateway::HeldConnection::SelectOldest(held);
  const auto entry =
    this->connections.begin() + static_cast<std::ptrdiff_t>(*oldest);
  entry->session.lock()->Drop();
  this->connections.erase(entry);
  ++this->dropped;
}

boost::system::error_code
OperatorEndpoint::Open(const tcp::endpoint& aEndpoint)
{
  return this->listener->Open(aEndpoint);
}

tcp::endpoint
OperatorEndpoint::LocalEndpoint() const
{
  return this->listener->LocalEndpoint();
}

void
OperatorEndpoint::Close()
{
  this->listener->Close();
}

gateway::CallAnswer
OperatorEndpoint::Answer(const gateway::CallRequest& aRequest) const
{
  const bool isRead = aRequest.method == boost::beast::http::verb::get ||
                      aRequest.method == boost::beast::http::verb::head;
  if (!isRead) {
    return gateway::CallAnswer::OfText(405, "this port is read-only\n");
  }
  if (aRequest.service == "ready" && this->pages.isReady) {
    const bool isReady = this->pages.isReady();
    return gateway::CallAnswer::OfText(isReady ? 200 : 503,
                                       isReady ? "ready\n" : "not ready\n");
  }
  if (aRequest.service == "metrics") {
    return gateway::CallAnswer::OfText(
      200, this->pages.metrics(), "text/plain; version=0.0.4");
  }
  if (aRequest.service == "dump") {
    return gateway::CallAnswer::OfText(
      200, this->pages.dump(), "application/json");
  }
  if (aRequest.service == "status") {
    return gateway::CallAnswer::OfText(
      200, this->pages.status(), "application/json");
  }
  return gateway::CallAnswer::OfText(404, "use /metrics, /dump or /status\n");
}

} // namespace fireflytrail::daemon
