#include "daemon/TrafficThread.h"

#include "calls/CallFlow.h"
#include "daemon/CallRunner.h"
#include "daemon/TrafficState.h"
#include "gateway/ServerPool.h"
#include "gateway/SocketAddress.h"
#include "gateway/TcpListener.h"
#include "routing/ServerLoad.h"

#include <boost/asio/post.hpp>

#include <cassert>
#include <charconv>
#include <utility>

namespace fireflytrail::daemon {

using boost::asio::ip::tcp;
using core::ErrorKind;

namespace {

constexpr unsigned kMaxTicketsPerRequest = 64;

// Idle connections that a thread keeps open to each server. A server accepts
// about 260 connections from all entry hosts together; with 19 hosts this
// leaves 13 for each host.
constexpr std::size_t kMaxIdleConnections = 4;

// The list of sessions is used for the graceful stop only. Ended sessions are
// removed from it when it has at least this many entries and twice as many as
// there are open sessions.
constexpr std::size_t kMinSessionsToSweep = 64;

routing::ServerSelector
MakeSelector(const TrafficHooks& aHooks, std::string_view aPolicy)
{
  auto selector =
    routing::ServerSelector::Make(aPolicy, aHooks.now, aHooks.random);
  assert(selector);
  return std::move(selector).value();
}

std::string_view
PathOf(std::string_view aTarget)
{
  return aTarget.substr(0, aTarget.find('?'));
}

} // namespace

TrafficThread::TrafficThread(const TrafficHooks& aHooks,
                             std::string_view aPolicy)
  : hooks(aHooks)
  , workGuard(boost::asio::make_work_guard(this->context))
  , selector(MakeSelector(aHooks, aPolicy))
  , admission(aHooks.random)
  , callMetrics(aHooks.metrics)
  , state(std::make_shared<TrafficState>())
  , sessionHooks(std::make_shared<gateway::CallerSessionHooks>())
{
  this->sessionHooks->handleCall =
    [this](gateway::CallRequest aCall,
           gateway::CallerSessionHooks::AnswerFunction aOnAnswer) {
      return this->Handle(std::move(aCall), std::move(aOnAnswer));
    };
  this->sessionHooks->isStopping = [this] { return this->isStopping.load(); };
  this->sessionHooks->sessionCountChanged = [this](int aChange) {
    this->sessionCount += static_cast<std::size_t>(aChange);
  };
  this->sessionHooks->requestCut =
    [&log = aHooks.log](const gateway::CallerConnectionEnd& aEnd) {
      aEnd.WriteTo(log);
    };
}

TrafficThread::~TrafficThread()
{
  this->workGuard.reset();
  this->context.stop();
  if (this->thread.joinable()) {
    this->thread.join();
  }
  for (const auto& weak : this->sessions) {
    if (const auto session = weak.lock()) {
      session->ReportStop();
    }
  }
}

boost::system::error_code
TrafficThread::Open(const tcp::endpoint& aEndpoint)
{
  this->listener = std::make_shared<gateway::TcpListener>(
    this->context, [this](tcp::socket aSocket) {
      const auto session = std::make_shared<gateway::CallerSession>(
        std::move(aSocket), this->sessionHooks);
      if (this->sessions.size() >= kMinSessionsToSweep &&
          this->sessions.size() >= 2 * this->sessionCount.load()) {
        std::erase_if(this->sessions,
                      [](const auto& aWeak) { return aWeak.expired(); });
      }
      this->sessions.push_back(session);
      session->Start();
    });
  // All traffic threads listen on one address.
  return this->listener->Open(aEndpoint, gateway::AddressSharing::Shared);
}

tcp::endpoint
TrafficThread::LocalEndpoint() const
{
  return this->listener->LocalEndpoint();
}

void
TrafficThread::Start()
{
  this->thread = std::thread([this] { this->context.run(); });
}

void
TrafficThread::Publish(std::shared_ptr<const TrafficState> aState,
                       std::function<void()> aOnApplied)
{
  assert(aState && aOnApplied);
  boost::asio::post(
    this->context,
    [this, newState = std::move(aState), onApplied = std::move(aOnApplied)] {
      this->state = newState;
      this->RemoveUnusedPools();
      onApplied();
    });
}

void
TrafficThread::BeginStop()
{
  this->isStopping = true;
}

void
TrafficThread::CloseListener()
{
  boost::asio::post(this->context, [this] { this->listener->Close(); });
}

void
TrafficThread::CloseIdleSessions()
{
  boost::asio::post(this->context, [this] {
    for (const auto& weak : this->sessions) {
      if (const auto session = weak.lock()) {
        session->CloseIfIdle(std::chrono::steady_clock::now());
      }
    }
  });
}

void
TrafficThread::RunForwarded(gateway::CallRequest aCall,
                            std::function<void(gateway::CallAnswer)> aOnAnswer)
{
  boost::asio::post(
    this->context,
    [this, call = std::move(aCall), onAnswer = std::move(aOnAnswer)]() mutable {
      this->StartCall(std::move(call), true, std::move(onAnswer));
    });
}

std::shared_ptr<gateway::ServerPool>
TrafficThread::PoolOf(const std::shared_ptr<routing::ServerLoad>& aServer)
{
  ServerEntry& entry = this->pools[aServer.get()];
  if (entry.pool && !entry.load.expired()) {
    return entry.pool;
  }
  const auto endpoint =
    gateway::ParseSocketAddress(aServer->Identity().address);
  if (!endpoint) {
    return nullptr;
  }
  entry.load = aServer;
  entry.pool = std::make_shared<gateway::ServerPool>(
    this->context, *endpoint, kMaxIdleConnections);
  return entry.pool;
}

void
TrafficThread::RemoveUnusedPools()
{
  std::erase_if(this->pools, [](auto& aEntry) {
    if (!aEntry.second.load.expired()) {
      return false;
    }
    if (aEntry.second.pool) {
      aEntry.second.pool->CloseIdle();
    }
    return true;
  });
}

gateway::CallerSessionHooks::CancelFunction
TrafficThread::Handle(gateway::CallRequest aCall,
                      gateway::CallerSessionHooks::AnswerFunction aOnAnswer)
{
  if (this->HandleBuiltInEndpoint(aCall, aOnAnswer)) {
    return {};
  }
  const auto runner =
    this->StartCall(std::move(aCall), false, std::move(aOnAnswer));
  if (!runner) {
    return {};
  }
  return [weak = std::weak_ptr(runner)] {
    if (const auto running = weak.lock()) {
      running->CallerGone();
    }
  };
}

bool
TrafficThread::HandleBuiltInEndpoint(
  const gateway::CallRequest& aCall,
  const gateway::CallerSessionHooks::AnswerFunction& aDone)
{
  if (aCall.service == "healthz") {
    const bool isReady =
      !this->isStopping && this->state->refusalKind == ErrorKind::None;
    aDone(gateway::CallAnswer::OfText(isReady ? 200 : 503,
                                      isReady ? "ready\n" : "not ready\n"));
    return true;
  }
  if (aCall.service == "tickets") {
    aDone(this->IssueTickets(aCall));
    return true;
  }
  return false;
}

gateway::CallAnswer
TrafficThread::IssueTickets(const gateway::CallRequest& aCall)
{
  if (aCall.method != boost::beast::http::verb::post) {
    return gateway::CallAnswer::OfError(ErrorKind::BadRequest, "use POST");
  }
  unsigned count = 1;
  constexpr std::string_view kCountPrefix = "/?count=";
  const std::string_view target = aCall.target;
  if (target.starts_with(kCountPrefix)) {
    const std::string_view number = target.substr(kCountPrefix.size());
    const auto [end, error] =
      std::from_chars(number.data(), number.data() + number.size(), count);
    if (error != std::errc{} || end != number.data() + number.size()) {
      count = 0;
    }
  } else if (target != "/") {
    count = 0;
  }
  if (count == 0 || count > kMaxTicketsPerRequest) {
    return gateway::CallAnswer::OfError(ErrorKind::BadRequest,
                                        "count must be from 1 to 64");
  }
  std::string lines;
  for (unsigned index = 0; index < count; ++index) {
    const auto ticket = this->hooks.ledger.Issue();
    if (!ticket) {
      return gateway::CallAnswer::OfError(ticket.error().kind);
    }
    lines += ticket.value().Text();
    lines += '\n';
  }
  return gateway::CallAnswer::OfText(200, std::move(lines));
}

std::shared_ptr<CallRunner>
TrafficThread::StartCall(gateway::CallRequest aCall,
                         bool aIsForwarded,
                         std::function<void(gateway::CallAnswer)> aOnAnswer)
{
  if (this->state->refusalKind != ErrorKind::None) {
    this->Refuse(this->state->refusalKind, aCall, aOnAnswer);
    return nullptr;
  }
  const auto* service = this->state->table->Find(aCall.service);
  if (service == nullptr) {
    this->Refuse(ErrorKind::UnknownService, aCall, aOnAnswer);
    return nullptr;
  }
  const std::string_view method = boost::beast::http::to_string(aCall.method);
  const auto* route = service->FindCall(method, PathOf(aCall.target));
  if (route == nullptr) {
    this->Refuse(ErrorKind::UnknownCall, aCall, aOnAnswer);
    return nullptr;
  }
  const ErrorKind admissionError =
    this->admission.Admit(*service, route->priority);
  if (admissionError != ErrorKind::None) {
    this->Refuse(admissionError, aCall, aOnAnswer);
    return nullptr;
  }
  ++this->callCount;
  std::shared_ptr<void> guard(nullptr, [this](void*) { --this->callCount; });
  const auto runner = std::make_shared<CallRunner>(*this,
                                                   std::move(aCall),
                                                   *route,
                                                   aIsForwarded,
                                                   std::move(guard),
                                                   std::move(aOnAnswer));
  runner->Begin();
  return runner;
}

void
TrafficThread::Refuse(ErrorKind aKind,
                      const gateway::CallRequest& aCall,
                      const std::function<void(gateway::CallAnswer)>& aOnAnswer)
{
  const ErrorKind kind = calls::CallFlow::RefusalKind(
    aKind, aCall.ticket.value_or(""), this->hooks.ledger);
  auto answer = gateway::CallAnswer::OfError(kind, aCall.service);
  answer.isSafeToResend = aCall.ticket.has_value();
  this->hooks.metrics.Count("refused_total");
  aOnAnswer(std::move(answer));
}

} // namespace fireflytrail::daemon
