#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>

namespace fireflytrail::gateway {

/**
 * Notices that a caller closes its connection, or only its sending side, while
 * its call runs, and then ends the call. Belongs to the owner of the socket;
 * use it only on the socket's thread.
 */
class CloseWatch
{
public:
  /** `aSocket` must outlive this object. */
  explicit CloseWatch(boost::asio::ip::tcp::socket& aSocket);

  /**
   * Watches until `Stop`. Calls `aCancel`, unless it is empty, some time after
   * the caller has closed: one that has left cannot be told from one that waits
   * for its answer. `aOwner` owns this object.
   */
  void Start(std::weak_ptr<const void> aOwner, std::function<void()> aCancel);

  /** Ends the watch, because the call has ended. */
  void Stop();

  /** Returns whether the caller has closed at least its sending side. */
  bool IsClosed() const { return this->isClosed; }

  /** Returns whether it has done so long enough ago to end its calls. */
  bool IsGone() const { return this->isGone; }

private:
  void Wait();
  /** Checks repeatedly: while received bytes wait, the socket does not become
   * readable again. */
  void Poll();
  bool HasClosed();
  void OnClosed();

  boost::asio::ip::tcp::socket& socket;
  boost::asio::steady_timer timer;
  std::weak_ptr<const void> owner;
  std::function<void()> cancel;
  bool isActive = false;
  bool isWaiting = false;
  bool isClosed = false;
  bool isGone = false;
};

} // namespace fireflytrail::gateway
