#include "gateway/ServerPool.h"

#include "gateway/ServerConnection.h"

#include <cassert>
#include <utility>

namespace fireflytrail::gateway {

ServerPool::ServerPool(boost::asio::io_context& aContext,
                       boost::asio::ip::tcp::endpoint aServer,
                       std::size_t aMaxIdle,
                       std::string aServerId,
                       std::shared_ptr<const ServerDialect> aDialect,
                       std::shared_ptr<core::MemoryBudget> aMemory)
  : context(aContext)
  , server(std::move(aServer))
  , maxIdle(aMaxIdle)
  , serverId(std::move(aServerId))
  , dialect(std::move(aDialect))
  , memory(std::move(aMemory))
{
}

ServerPool::~ServerPool() = default;

std::shared_ptr<ServerConnection>
ServerPool::Send(std::shared_ptr<const CallRequest> aCall,
                 std::chrono::milliseconds aTimeLeft,
                 unsigned aAttempt,
                 ExchangeFunction aOnEnd)
{
  std::shared_ptr<ServerConnection> connection = this->AcquireIdle();
  if (!connection) {
    connection = std::make_shared<ServerConnection>(
      this->context, this->dialect, this->memory);
  }
  ++this->inUse;
  connection->Send(this->server,
                   std::move(aCall),
                   { .serverId = this->serverId,
                     .address = {},
                     .timeLeft = aTimeLeft,
                     .attempt = aAttempt },
                   [self = this->shared_from_this(),
                    weak = std::weak_ptr(connection),
                    onEnd = std::move(aOnEnd)](ServerExchange aExchange) {
                     --self->inUse;
                     if (const auto endedConnection = weak.lock()) {
                       self->ReturnToPool(endedConnection);
                     }
                     onEnd(std::move(aExchange));
                   });
  return connection;
}

std::shared_ptr<ServerConnection>
ServerPool::AcquireIdle()
{
  // The most recently used connection is last. If it has been idle for too
  // long, so have the others.
  const auto now = std::chrono::steady_clock::now();
  if (!this->idle.empty() &&
      now - this->idle.back()->IdleSince() > this->idle.back()->IdleLimit()) {
    this->CloseIdle();
  }
  while (!this->idle.empty()) {
    auto connection = std::move(this->idle.back());
    this->idle.pop_back();
    // The idle watch may not have run yet.
    if (!connection->HasUnsolicitedBytes()) {
      return connection;
    }
    connection->Cancel();
  }
  return nullptr;
}

void
ServerPool::Cancel(ServerConnection& aConnection)
{
  assert(this->inUse > 0);
  --this->inUse;
  aConnection.Cancel();
}

void
ServerPool::CheckConnectRefused(std::function<void(bool)> aOnChecked)
{
  const auto connection = std::make_shared<ServerConnection>(
    this->context, this->dialect, this->memory);
  ++this->inUse;
  connection->Open(
    this->server,
    [self = this->shared_from_this(),
     connection,
     onChecked = std::move(aOnChecked)](boost::system::error_code aError) {
      --self->inUse;
      self->ReturnToPool(connection);
      onChecked(aError == boost::asio::error::connection_refused);
    });
}

void
ServerPool::CloseIdle()
{
  for (const auto& connection : std::exchange(this->idle, {})) {
    connection->Cancel();
  }
}

std::size_t
ServerPool::ConnectionCount() const
{
  return this->inUse + this->idle.size();
}

void
ServerPool::ReturnToPool(const std::shared_ptr<ServerConnection>& aConnection)
{
  if (!aConnection->IsReusable()) {
    return;
  }
  if (this->idle.size() >= this->maxIdle) {
    aConnection->Cancel();
    return;
  }
  this->idle.push_back(aConnection);
  aConnection->WatchWhileIdle([weakPool = this->weak_from_this(),
                               weakConnection = std::weak_ptr(aConnection)] {
    const auto pool = weakPool.lock();
    const auto connection = weakConnection.lock();
    if (pool && connection) {
      std::erase(pool->idle, connection);
    }
  });
}

} // namespace fireflytrail::gateway
