#pragma once

#include "daemon/Metrics.h"
#include "daemon/TrafficHooks.h"
#include "gateway/CallAnswer.h"
#include "gateway/CallRequest.h"
#include "gateway/CallerSession.h"
#include "routing/AdmissionControl.h"
#include "routing/ServerSelector.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace fireflytrail::gateway {
class TcpListener;
class ServerPool;
}

namespace fireflytrail::routing {
class ServerLoad;
}

namespace fireflytrail::daemon {

class CallRunner;
struct TrafficState;

/**
 * One thread that serves callers. It has its own listener and server
 * connections and its own pointer to the traffic state, so that a routing
 * decision takes no lock. Methods marked "any thread" are thread-safe; once the
 * thread has started, use the others on it only.
 */
class TrafficThread
{
public:
  /** `aHooks` must outlive the thread. */
  TrafficThread(const TrafficHooks& aHooks, std::string_view aPolicy);

  /** Stops and joins the thread. */
  ~TrafficThread();
  TrafficThread(const TrafficThread&) = delete;
  TrafficThread& operator=(const TrafficThread&) = delete;

  /** Binds the address that callers connect to; may be called again after an
   * error. Call before `Start`. */
  boost::system::error_code Open(
    const boost::asio::ip::tcp::endpoint& aEndpoint);

  /** Returns the bound endpoint; `Open` must have succeeded. Any thread. */
  boost::asio::ip::tcp::endpoint LocalEndpoint() const;

  /** Starts the thread. Call once. */
  void Start();

  /**
   * Replaces the traffic state and calls `aOnApplied` on this thread once the
   * new state is in use. Any thread.
   */
  void Publish(std::shared_ptr<const TrafficState> aState,
               std::function<void()> aOnApplied);

  /** Marks the thread as stopping: each answer closes its connection, and
   * `/healthz` answers 503. Any thread. */
  void BeginStop();

  /** Stops accepting connections. Any thread. */
  void CloseListener();

  /** Closes connections without a request in progress. Any thread. */
  void CloseIdleSessions();

  /** Number of open caller connections. Any thread. */
  std::size_t SessionCount() const { return this->sessionCount.load(); }

  /** Number of calls in progress. Any thread. */
  std::size_t CallCount() const { return this->callCount.load(); }

  /**
   * Runs a call that another daemon forwarded. `aOnAnswer` is called on this
   * thread. Any thread.
   */
  void RunForwarded(gateway::CallRequest aCall,
                    std::function<void(gateway::CallAnswer)> aOnAnswer);

  /** Returns the objects and hooks that all traffic threads share. */
  const TrafficHooks& Hooks() const { return this->hooks; }

  /** Returns the state in use. */
  const TrafficState& State() const { return *this->state; }

  boost::asio::io_context& Context() { return this->context; }
  routing::ServerSelector& Selector() { return this->selector; }
  CallMetrics& CallSeries() { return this->callMetrics; }

  /** Returns the connections to a server, or null if its address cannot be
   * parsed. */
  std::shared_ptr<gateway::ServerPool> PoolOf(
    const std::shared_ptr<routing::ServerLoad>& aServer);

private:
  struct ServerEntry
  {
    std::weak_ptr<routing::ServerLoad> load;
    std::shared_ptr<gateway::ServerPool> pool;
  };

  gateway::CallerSessionHooks::CancelFunction Handle(
    gateway::CallRequest aCall,
    gateway::CallerSessionHooks::AnswerFunction aOnAnswer);
  bool HandleBuiltInEndpoint(
    const gateway::CallRequest& aCall,
    const gateway::CallerSessionHooks::AnswerFunction& aDone);
  gateway::CallAnswer IssueTickets(const gateway::CallRequest& aCall);
  std::shared_ptr<CallRunner> StartCall(
    gateway::CallRequest aCall,
    bool aIsForwarded,
    std::function<void(gateway::CallAnswer)> aOnAnswer);
  void Refuse(core::ErrorKind aKind,
              const gateway::CallRequest& aCall,
              const std::function<void(gateway::CallAnswer)>& aOnAnswer);
  void RemoveUnusedPools();

  const TrafficHooks& hooks;
  boost::asio::io_context context{ 1 };
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
    workGuard;
  routing::ServerSelector selector;
  routing::AdmissionControl admission;
  CallMetrics callMetrics;
  std::shared_ptr<const TrafficState> state;
  std::shared_ptr<gateway::CallerSessionHooks> sessionHooks;
  std::shared_ptr<gateway::TcpListener> listener;
  std::vector<std::weak_ptr<gateway::CallerSession>> sessions;
  std::map<const routing::ServerLoad*, ServerEntry> pools;
  std::atomic<std::size_t> sessionCount{ 0 };
  std::atomic<std::size_t> callCount{ 0 };
  std::atomic<bool> isStopping{ false };
  std::thread thread;
};

} // namespace fireflytrail::daemon
