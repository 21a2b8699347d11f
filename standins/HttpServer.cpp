#include "standins/HttpServer.h"

#include "standins/HttpSession.h"

#include <fmt/format.h>

#include <cassert>
#include <utility>
#include <vector>

namespace fireflytrail::standins {

using boost::asio::ip::tcp;

struct HttpServer::SessionRegistry
{
  std::unordered_map<HttpSession*, std::weak_ptr<HttpSession>> sessions;
};

HttpServer::HttpServer(boost::asio::io_context& aContext,
                       tcp::endpoint aEndpoint,
                       HttpHandler aHandler,
                       AcceptFilter aAcceptFilter)
  : context(aContext)
  , endpoint(std::move(aEndpoint))
  , acceptor(aContext)
  , handler(std::move(aHandler))
  , acceptFilter(std::move(aAcceptFilter))
  , sessionRegistry(std::make_shared<SessionRegistry>())
{
  assert(this->handler);
  this->Bind();
  this->endpoint = this->acceptor.local_endpoint();
  this->Open();
}

HttpServer::~HttpServer()
{
  this->Close();
}

const tcp::endpoint&
HttpServer::Endpoint() const
{
  return this->endpoint;
}

std::string
HttpServer::Address() const
{
  return fmt::format(
    "{}:{}", this->endpoint.address().to_string(), this->endpoint.port());
}

std::size_t
HttpServer::ConnectionCount() const
{
  return this->sessionRegistry->sessions.size();
}

void
HttpServer::Close()
{
  if (!std::exchange(this->open, false)) {
    return;
  }
  this->acceptor.close();
  this->Bind();
  std::vector<std::shared_ptr<HttpSession>> sessions;
  for (const auto& [key, session] : this->sessionRegistry->sessions) {
    if (auto openSession = session.lock()) {
      sessions.push_back(std::move(openSession));
    }
  }
  for (const auto& session : sessions) {
    session->Close();
  }
}

void
HttpServer::Open()
{
  if (std::exchange(this->open, true)) {
    return;
  }
  this->acceptor.listen();
  this->AcceptNext();
}

void
HttpServer::Bind()
{
  this->acceptor.open(this->endpoint.protocol());
  this->acceptor.set_option(tcp::acceptor::reuse_address(true));
  this->acceptor.bind(this->endpoint);
}

void
HttpServer::AcceptNext()
{
  this->acceptor.async_accept(
    this->context,
    [this,
     weakRegistry = std::weak_ptr<SessionRegistry>(this->sessionRegistry)](
      boost::system::error_code aError, tcp::socket aSocket) {
      if (aError == boost::asio::error::operation_aborted ||
          weakRegistry.expired()) {
        return;
      }
      if (!aError && (!this->acceptFilter || this->acceptFilter())) {
        auto session = std::make_shared<HttpSession>(
          std::move(aSocket),
          this->handler,
          [weakRegistry](HttpSession* aSession) {
            if (const auto registry = weakRegistry.lock()) {
              registry->sessions.erase(aSession);
            }
          });
        this->sessionRegistry->sessions.emplace(session.get(), session);
        session->Start();
      }
      this->AcceptNext();
    });
}

} // namespace fireflytrail::standins
