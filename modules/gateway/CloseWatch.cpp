#include "gateway/CloseWatch.h"

#include <chrono>
#include <utility>

#include <poll.h>

namespace fireflytrail::gateway {

using boost::asio::ip::tcp;
using namespace std::chrono_literals;

namespace {

constexpr auto kPollInterval = 100ms;
// Time that a call may still take after its caller has closed.
constexpr auto kClosedCallTime = 200ms;

} // namespace

CloseWatch::CloseWatch(tcp::socket& aSocket)
  : socket(aSocket)
  , timer(aSocket.get_executor())
{
}

void
CloseWatch::Start(std::weak_ptr<const void> aOwner,
                  std::function<void()> aCancel)
{
  this->owner = std::move(aOwner);
  this->cancel = std::move(aCancel);
  this->isActive = true;
  this->Wait();
}

void
CloseWatch::Stop()
{
  this->isActive = false;
  this->cancel = nullptr;
}

void
CloseWatch::Wait()
{
  if (this->isWaiting || this->isClosed) {
    return;
  }
  this->isWaiting = true;
  this->socket.async_wait(
    tcp::socket::wait_read,
    [this, weak = this->owner](boost::system::error_code aError) {
      const auto held = weak.lock();
      if (!held) {
        return;
      }
      this->isWaiting = false;
      if (aError || !this->isActive) {
        return;
      }
      boost::system::error_code availableError;
      if (this->HasClosed()) {
        this->OnClosed();
      } else if (this->socket.available(availableError) > 0) {
        this->Poll();
      } else {
        this->Wait();
      }
    });
}

void
CloseWatch::Poll()
{
  this->timer.expires_after(kPollInterval);
  this->timer.async_wait(
    [this, weak = this->owner](boost::system::error_code aError) {
      const auto held = weak.lock();
      if (aError || !held || !this->isActive) {
        return;
      }
      if (this->HasClosed()) {
        this->OnClosed();
      } else {
        this->Poll();
      }
    });
}

bool
CloseWatch::HasClosed()
{
  pollfd descriptor{ .fd = this->socket.native_handle(),
                     .events = POLLRDHUP,
                     .revents = 0 };
  constexpr int kClosed = POLLRDHUP | POLLHUP | POLLERR | POLLNVAL;
  return poll(&descriptor, 1, 0) > 0 && (descriptor.revents & kClosed) != 0;
}

void
CloseWatch::OnClosed()
{
  this->isClosed = true;
  this->timer.expires_after(kClosedCallTime);
  this->timer.async_wait(
    [this, weak = this->owner](boost::system::error_code aError) {
      const auto held = weak.lock();
      if (aError || !held) {
        return;
      }
      this->isGone = true;
      if (const auto function = std::exchange(this->cancel, nullptr)) {
        function();
      }
    });
}

} // namespace fireflytrail::gateway
