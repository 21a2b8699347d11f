#include "store/StoreTransport.h"

#include "store/StoreConnection.h"

#include <set>
#include <utility>
#include <vector>

namespace fireflytrail::store {

namespace {

// A daemon has one watch and rarely more than one other request in flight.
constexpr std::size_t kMaxIdleConnections = 2;

// A request that a reused connection loses within this time is sent again: the
// platform had probably closed the idle connection, and the request then fails
// within one round trip. A later loss is reported, since the request had
// arrived. A watch sent again would wait for its full time again.
constexpr std::chrono::milliseconds kIdleCloseThreshold{ 100 };

} // namespace

struct StoreTransport::Pool
{
  boost::asio::io_context& context;
  boost::asio::ip::tcp::endpoint endpoint;
  std::string eraField;
  std::vector<std::shared_ptr<StoreConnection>> idle;
  std::set<std::shared_ptr<StoreConnection>> running;
  bool isClosed = false;
};

StoreTransport::StoreTransport(boost::asio::io_context& aContext,
                               boost::asio::ip::tcp::endpoint aEndpoint,
                               std::string aEraField)
  : pool(new Pool{ aContext,
                   std::move(aEndpoint),
                   std::move(aEraField),
                   {},
                   {},
                   false })
{
}

StoreTransport::~StoreTransport()
{
  this->pool->isClosed = true;
  this->pool->idle.clear();
  for (const auto& connection : std::exchange(this->pool->running, {})) {
    connection->Close();
  }
}

void
StoreTransport::Send(const StoreRequest& aRequest, ResponseFunction aDone)
{
  Run(this->pool,
      aRequest,
      aRequest.kind != StoreRequestKind::Write &&
        aRequest.kind != StoreRequestKind::RawWrite &&
        aRequest.kind != StoreRequestKind::RawPost,
      std::move(aDone));
}

void
StoreTransport::Run(const std::shared_ptr<Pool>& aPool,
                    const StoreRequest& aRequest,
                    bool aMayReuse,
                    ResponseFunction aDone)
{
  std::shared_ptr<StoreConnection> connection;
  const bool isReused = aMayReuse && !aPool->idle.empty();
  if (isReused) {
    connection = std::move(aPool->idle.back());
    aPool->idle.pop_back();
  } else {
    connection = std::make_shared<StoreConnection>(
      aPool->context, aPool->endpoint, aPool->eraField);
  }
  aPool->running.insert(connection);
  const auto sentAt = std::chrono::steady_clock::now();
  connection->Run(
    aRequest,
    [aPool, connection, aRequest, isReused, sentAt, done = std::move(aDone)](
      StoreResponse aResponse) mutable {
      aPool->running.erase(connection);
      if (aPool->isClosed) {
        // The owner of the transport is being destroyed, and the objects that
        // the function uses may be gone.
        return;
      }
      if (connection->IsReusable() &&
          aPool->idle.size() < kMaxIdleConnections) {
        aPool->idle.push_back(connection);
      }
      if (isReused && aResponse.delivery == StoreDelivery::Lost &&
          std::chrono::steady_clock::now() - sentAt < kIdleCloseThreshold) {
        // Only reads reuse connections, and they can be sent twice.
        Run(aPool, aRequest, false, std::move(done));
        return;
      }
      done(std::move(aResponse));
    });
}

} // namespace fireflytrail::store
