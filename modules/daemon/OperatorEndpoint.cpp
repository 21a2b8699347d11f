#include "daemon/OperatorEndpoint.h"

#include "gateway/CallAnswer.h"
#include "gateway/TcpListener.h"

#include <cassert>
#include <utility>

namespace fireflytrail::daemon {

using boost::asio::ip::tcp;

OperatorEndpoint::OperatorEndpoint(boost::asio::io_context& aContext,
                                   OperatorPages aPages)
  : pages(std::move(aPages))
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
  this->listener = std::make_shared<gateway::TcpListener>(
    aContext, [this](tcp::socket aSocket) {
      std::make_shared<gateway::CallerSession>(std::move(aSocket), this->hooks)
        ->Start();
    });
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
