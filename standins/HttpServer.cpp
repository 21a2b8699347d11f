#include "standins/HttpServer.h"

#include "standins/HttpSession.h"

#include <fmt/format.h>

#include <cassert>
#include <utility>
#include <vector>

namespace fireflytrail::standins {

using boost::asio::ip::tcp;

struct HttpServer::Shared
{
  std::unordered_map<HttpSession*, std::weak_ptr<HttpSession>> sessions;
};

HttpServer::HttpServer(boost::asio::io_context& aContext,
                       tcp::endpoint aEndpoint,
                       HttpHandler aHandler,
                       AcceptFunction aAccept)
  : context(aContext)
  , endpoint(std::move(aEndpoint))
  , acceptor(aContext)
  , handler(std::move(aHandler))
  , accept(std::move(aAccept))
  , shared(std::make_shared<Shared>())
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
  return this->shared->sessions.size();
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
  for (const auto& [key, session] : this->shared->sessions) {
    if (auto live = session.lock()) {
      sessions.push_back(std::move(live));
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
    [this, alive = std::weak_ptr<Shared>(this->shared)](
      boost::system::error_code aError, tcp::socket aSocket) {
      if (aError == boost::asio::error::operation_aborted || alive.expired()) {
        return;
      }
      if (!aError && (!this->accept || this->accept())) {
        auto session = std::make_shared<HttpSession>(
          std::move(aSocket), this->handler, [alive](HttpSession* aSession) {
            if (const auto list = alive.lock()) {
              list->sessions.erase(aSession);
            }
          });
        this->shared->sessions.emplace(session.get(), session);
        session->Start();
      }
      this->AcceptNext();
    });
}

} // namespace fireflytrail::standins
