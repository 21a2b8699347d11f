#include "daemon/AddressBinder.h"

#include "core/SignalName.h"
#include "core/StopSignals.h"

#include <boost/asio/error.hpp>

#include <thread>

namespace fireflytrail::daemon {

using namespace std::chrono_literals;
using core::LogLevel;

namespace {

constexpr auto kPause = 100ms;

} // namespace

AddressBinder::AddressBinder(const core::Log& aLog,
                             std::chrono::milliseconds aLimit)
  : log(aLog)
  , end(std::chrono::steady_clock::now() + aLimit)
{
}

bool
AddressBinder::Bind(std::string_view aPort,
                    const std::string& aAddress,
                    const std::function<boost::system::error_code()>& aOpen)
{
  const auto report =
    [&](LogLevel aLevel, std::string_view aEvent, const std::string& aError) {
      this->log.Write(
        aLevel,
        aEvent,
        { { "port", aPort }, { "address", aAddress }, { "error", aError } });
    };
  bool isReported = false;
  while (const auto error = aOpen()) {
    if (error != boost::asio::error::address_in_use ||
        std::chrono::steady_clock::now() >= this->end) {
      report(LogLevel::Error, "bind_failed", error.message());
      return false;
    }
    if (!isReported) {
      report(LogLevel::Warning, "bind_delayed", error.message());
      isReported = true;
    }
    if (const int signal = core::StopSignals::PendingStop()) {
      this->log.Write(LogLevel::Info,
                      "stop_requested",
                      { { "signal", core::SignalName(signal) } });
      return false;
    }
    std::this_thread::sleep_for(kPause);
  }
  return true;
}

} // namespace fireflytrail::daemon
