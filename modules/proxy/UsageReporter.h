#pragma once

#include "configuration/ProxySettings.h"
#include "core/BootClock.h"
#include "core/DaemonId.h"
#include "core/Hooks.h"
#include "core/Log.h"
#include "proxy/UsageDialect.h"
#include "proxy/UsageExchange.h"
#include "store/StoreTransport.h"
#include "usage/ReportDuty.h"
#include "wire/WireMessage.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>

#include <memory>
#include <string>

namespace fireflytrail::daemon {
class Metrics;
}

namespace fireflytrail::proxy {

class PeerNetwork;

/**
 * Reports usage to the platform: connects `UsageExchange` and
 * `usage::ReportDuty` to the clocks, the store, the platform and the other
 * daemons. For use on the daemon's thread only.
 */
class UsageReporter
{
public:
  /** `aSettings.usageReportAddress` must be set. The references and `aStore`
   * must outlive this object. */
  UsageReporter(boost::asio::io_context& aContext,
                const configuration::ProxySettings& aSettings,
                const core::DaemonId& aSelf,
                const UsageDialect& aDialect,
                PeerNetwork& aPeers,
                store::StoreTransport& aStore,
                const core::Log& aLog,
                daemon::Metrics& aMetrics);
  ~UsageReporter();
  UsageReporter(const UsageReporter&) = delete;
  UsageReporter& operator=(const UsageReporter&) = delete;

  /** Starts the timers. Call once. */
  void Start();

  /** Counts a request that was sent to its server at a time and began to run;
   * not if it belongs to no organisation. */
  void OnRunBegan(const std::string& aOrganisation, core::TimePoint aSentAt);

  /** Handles a message of another daemon; others than those about usage are
   * ignored. */
  void OnMessage(const core::DaemonId& aFrom,
                 const wire::WireMessage& aMessage);

  /** Gives up the duty because this daemon stops. */
  void BeginStop();

  /** Hands what was counted to other daemons. Returns whether that was done by
   * an earlier call, so that the messages have left. */
  bool HandOver();

  /** Sets the gauges. */
  void UpdateMetrics();

  /** Returns the state for the dump. */
  boost::json::object Dump() const;

private:
  UsageExchangeHooks MakeExchangeHooks();
  usage::ReportDutyHooks MakeDutyHooks();
  void CallStore(store::StoreRequest aRequest,
                 usage::ReportDutyHooks::AnswerFunction aDone);
  usage::ReportDutyHooks::CancelFunction SendReport(
    const usage::UsageReport& aReport,
    std::function<bool()> aMayStart,
    usage::ReportDutyHooks::StatusFunction aDone);
  void Announce(const usage::LeaseNotice& aNotice);
  void OnReported(const usage::UsageReport& aReport,
                  std::chrono::milliseconds aDelay);
  void OnMissing(usage::WindowNumber aFirst,
                 usage::WindowNumber aLast,
                 const std::string& aWhy);
  void OnDutyTimer();
  void OnPushTimer();

  boost::asio::io_context& context;
  const configuration::ProxySettings& settings;
  const UsageDialect& dialect;
  PeerNetwork& peers;
  store::StoreTransport& store;
  const core::Log& log;
  daemon::Metrics& metrics;
  boost::asio::steady_timer dutyTimer;
  boost::asio::steady_timer pushTimer;
  /** Replaced to end a call that must not arrive any more. */
  std::unique_ptr<store::StoreTransport> platform;
  UsageExchange exchange;
  usage::ReportDuty duty;
  usage::WindowNumber lastReported = 0;
  bool isStopping = false;
  bool isHandedOver = false;
};

} // namespace fireflytrail::proxy
