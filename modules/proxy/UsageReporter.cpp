#include "proxy/UsageReporter.h"

#include "daemon/Metrics.h"
#include "proxy/PeerNetwork.h"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>
#include <variant>
#include <vector>

namespace fireflytrail::proxy {

using namespace std::chrono_literals;
using core::LogLevel;
using std::chrono::milliseconds;

namespace {

// Parts of the lease in which the store and the platform must answer. A lease
// is renewed after a third of it.
constexpr int kStorePart = 4;
constexpr double kReportShare = 0.6;

// Interval between two pushes while the daemon stops.
constexpr milliseconds kStoppingPushInterval = 250ms;

std::unique_ptr<store::StoreTransport>
MakeTransport(boost::asio::io_context& aContext,
              const configuration::Endpoint& aEndpoint)
{
  return std::make_unique<store::StoreTransport>(
    aContext,
    boost::asio::ip::tcp::endpoint(
      boost::asio::ip::make_address(aEndpoint.address), aEndpoint.port));
}

} // namespace

UsageReporter::UsageReporter(boost::asio::io_context& aContext,
                             const configuration::ProxySettings& aSettings,
                             const core::DaemonId& aSelf,
                             const UsageDialect& aDialect,
                             PeerNetwork& aPeers,
                             store::StoreTransport& aStore,
                             const core::Log& aLog,
                             daemon::Metrics& aMetrics)
  : context(aContext)
  , settings(aSettings)
  , dialect(aDialect)
  , peers(aPeers)
  , store(aStore)
  , log(aLog)
  , metrics(aMetrics)
  , dutyTimer(aContext)
  , pushTimer(aContext)
  , platform(MakeTransport(aContext, *aSettings.usageReportAddress))
  , exchange(
      PeerHost{ aSelf.name, aSettings.IsStrong(), aSettings.failureDomain },
      aSelf.start,
      aSettings.usageWindow,
      aSettings.usageLate,
      this->MakeExchangeHooks())
  , duty(usage::ReportDutySettings{ .holder = aSettings.name,
                                    .process =
                                      std::max<std::uint64_t>(aSelf.start, 1),
                                    .window = aSettings.usageWindow,
                                    .late = aSettings.usageLate,
                                    .lease = aSettings.lease,
                                    .callsPerSecond =
                                      aSettings.usageCallsPerSecond },
         this->MakeDutyHooks())
{
}

UsageReporter::~UsageReporter() = default;

void
UsageReporter::Start()
{
  this->OnDutyTimer();
  this->OnPushTimer();
}

UsageExchangeHooks
UsageReporter::MakeExchangeHooks()
{
  return { .now = core::BootClock::now,
           .wallNow = std::chrono::system_clock::now,
           .peers =
             [this] {
               std::vector<PeerHost> hosts;
               for (const std::string& name : this->peers.LivePeerNames()) {
                 hosts.push_back(this->peers.DescriptionOf(name));
               }
               return hosts;
             },
           .send =
             [this](const std::string& aTo, wire::WireMessage aMessage) {
               this->peers.Send(aTo, std::move(aMessage));
             } };
}

usage::ReportDutyHooks
UsageReporter::MakeDutyHooks()
{
  return {
    .now = core::BootClock::now,
    .trueTime = [this] { return this->exchange.TrueTime(); },
    .rank = [this] { return this->exchange.DutyRank(); },
    .read =
      [this](usage::ReportDutyHooks::AnswerFunction aDone) {
        store::StoreRequest request;
        request.kind = store::StoreRequestKind::RawRead;
        request.target = this->dialect.objectTarget;
        this->CallStore(std::move(request), std::move(aDone));
      },
    .write =
      [this](std::optional<std::uint64_t> aRevision,
             const usage::DutyState& aState,
             usage::ReportDutyHooks::AnswerFunction aDone) {
        store::StoreRequest request;
        request.kind = aRevision ? store::StoreRequestKind::RawWrite
                                 : store::StoreRequestKind::RawPost;
        request.target =
          aRevision ? this->dialect.objectTarget : this->dialect.createTarget;
        request.body = this->dialect.writeObject(aRevision, aState.ToText());
        this->CallStore(std::move(request), std::move(aDone));
      },
    .send =
      [this](const usage::UsageReport& aReport,
             std::function<bool()> aMayStart,
             usage::ReportDutyHooks::StatusFunction aDone) {
        return this->SendReport(
          aReport, std::move(aMayStart), std::move(aDone));
      },
    .collect =
      [this](usage::WindowNumber aWindow, bool aIsLast) {
        return this->exchange.Collect(aWindow, aIsLast);
      },
    .announce =
      [this](const usage::LeaseNotice& aNotice) { this->Announce(aNotice); },
    .onReported =
      [this](const usage::UsageReport& aReport, milliseconds aDelay) {
        this->OnReported(aReport, aDelay);
      },
    .onMissing =
      [this](usage::WindowNumber aFirst,
             usage::WindowNumber aLast,
             const std::string& aWhy) { this->OnMissing(aFirst, aLast, aWhy); },
    .onLeaseChange =
      [this](bool aIsHolder, const std::string& aWhy) {
        this->log.Write(LogLevel::Info,
                        aIsHolder ? "usage_duty_taken" : "usage_duty_ended",
                        { { "why", aWhy } });
      }
  };
}

void
UsageReporter::CallStore(store::StoreRequest aRequest,
                         usage::ReportDutyHooks::AnswerFunction aDone)
{
  aRequest.timeout = this->settings.lease / kStorePart;
  this->metrics.Count("usage_store_calls_total");
  this->store.Send(
    aRequest,
    [this, done = std::move(aDone)](const store::StoreResponse& aResponse) {
      usage::DutyAnswer answer;
      if (aResponse.delivery == store::StoreDelivery::Answered) {
        answer.status = aResponse.status;
        answer.era = aResponse.era;
        if (const auto object = this->dialect.readObject(aResponse.body)) {
          answer.revision = object->revision;
          answer.state = usage::DutyState::Parse(object->text);
        }
      }
      done(answer);
    });
}

usage::ReportDutyHooks::CancelFunction
UsageReporter::SendReport(const usage::UsageReport& aReport,
                          std::function<bool()> aMayStart,
                          usage::ReportDutyHooks::StatusFunction aDone)
{
  store::StoreRequest request = this->dialect.makeReport(aReport);
  request.timeout = std::chrono::duration_cast<milliseconds>(
    this->settings.lease * kReportShare);
  request.maySend = std::move(aMayStart);
  request.isResetOnEnd = true;
  this->metrics.Count("usage_report_calls_total");
  this->platform->Send(
    request,
    [this, aReport, done = std::move(aDone)](
      const store::StoreResponse& aResponse) {
      this->log.Write(
        LogLevel::Debug,
        "usage_call",
        { { "window", static_cast<std::int64_t>(aReport.window) },
          { "status", static_cast<std::int64_t>(aResponse.status) },
          { "detail", aResponse.detail } });
      done(aResponse.delivery == store::StoreDelivery::Answered
             ? std::optional(aResponse.status)
             : std::nullopt);
    });
  return [this] {
    this->platform =
      MakeTransport(this->context, *this->settings.usageReportAddress);
  };
}

void
UsageReporter::Announce(const usage::LeaseNotice& aNotice)
{
  const wire::UsageLease lease{ aNotice.holder,     aNotice.process,
                                aNotice.fence,      aNotice.sequence,
                                aNotice.revision,   aNotice.era,
                                aNotice.isReleased, aNotice.fixedThrough,
                                aNotice.doneThrough };
  for (const std::string& name :
       this->exchange.DutyCandidates(usage::ReportDuty::kMaxCandidates)) {
    this->peers.Send(name, lease);
  }
}

void
UsageReporter::OnReported(const usage::UsageReport& aReport,
                          milliseconds aDelay)
{
  this->lastReported = std::max(this->lastReported, aReport.window);
  this->metrics.Count("usage_windows_reported_total");
  if (aDelay > this->settings.usageLate) {
    this->metrics.Count("usage_windows_late_total");
  }
  std::uint64_t sum = 0;
  for (const auto& [organisation, count] : aReport.figures) {
    sum += count;
  }
  this->log.Write(
    LogLevel::Info,
    "usage_reported",
    { { "window", static_cast<std::int64_t>(aReport.window) },
      { "fence", static_cast<std::int64_t>(aReport.fence) },
      { "organisations", static_cast<std::int64_t>(aReport.figures.size()) },
      { "requests", static_cast<std::int64_t>(sum) },
      { "missing_hosts",
        static_cast<std::int64_t>(this->exchange.MissingHosts()) },
      { "delay_ms", static_cast<std::int64_t>(aDelay.count()) } });
}

void
UsageReporter::OnMissing(usage::WindowNumber aFirst,
                         usage::WindowNumber aLast,
                         const std::string& aWhy)
{
  this->metrics.Count("usage_windows_missing_total",
                      static_cast<double>(aLast - aFirst + 1));
  this->log.Write(LogLevel::Warning,
                  "usage_missing",
                  { { "first_window", static_cast<std::int64_t>(aFirst) },
                    { "last_window", static_cast<std::int64_t>(aLast) },
                    { "why", aWhy } });
}

//==============================================================================
void
UsageReporter::OnRunBegan(const std::string& aOrganisation,
                          core::TimePoint aSentAt)
{
  if (aOrganisation.empty()) {
    return;
  }
  const auto elapsed = std::chrono::steady_clock::now() - aSentAt;
  if (!this->exchange.Count(aOrganisation, core::BootClock::now() - elapsed)) {
    this->metrics.Count("usage_uncounted_total");
  }
}

void
UsageReporter::OnMessage(const core::DaemonId& aFrom,
                         const wire::WireMessage& aMessage)
{
  if (const auto* news = std::get_if<wire::UsageNews>(&aMessage)) {
    this->exchange.OnNews(aFrom, *news);
  } else if (const auto* request = std::get_if<wire::UsageRequest>(&aMessage)) {
    this->exchange.OnRequest(aFrom, *request);
  } else if (const auto* lease = std::get_if<wire::UsageLease>(&aMessage)) {
    this->duty.OnNotice({ lease->holder,
                          lease->process,
                          lease->fence,
                          lease->sequence,
                          lease->revision,
                          lease->era,
                          lease->isReleased,
                          lease->fixedThrough,
                          lease->doneThrough });
  }
}

void
UsageReporter::OnDutyTimer()
{
  this->duty.Tick();
  this->exchange.Forget(this->duty.FixedThrough());
  this->dutyTimer.expires_after(this->duty.TickInterval());
  this->dutyTimer.async_wait([this](boost::system::error_code aError) {
    if (!aError) {
      this->OnDutyTimer();
    }
  });
}

void
UsageReporter::OnPushTimer()
{
  this->exchange.Tick();
  this->pushTimer.expires_after(
    this->isStopping ? kStoppingPushInterval : UsageExchange::kPushInterval);
  this->pushTimer.async_wait([this](boost::system::error_code aError) {
    if (!aError) {
      this->OnPushTimer();
    }
  });
}

void
UsageReporter::BeginStop()
{
  this->isStopping = true;
  this->duty.BeginStop();
  this->duty.Tick();
}

bool
UsageReporter::HandOver()
{
  if (this->isHandedOver) {
    return true;
  }
  this->isHandedOver = true;
  this->exchange.HandOver();
  return false;
}

//==============================================================================
void
UsageReporter::UpdateMetrics()
{
  this->metrics.Set("usage_is_holder", this->duty.IsHolder() ? 1 : 0);
  this->metrics.Set("usage_windows_pending",
                    static_cast<double>(this->duty.PendingCount()));
}

boost::json::object
UsageReporter::Dump() const
{
  return { { "holder", this->duty.HolderName() },
           { "is_holder", this->duty.IsHolder() },
           { "fixed_through", this->duty.FixedThrough() },
           { "last_reported", this->lastReported },
           { "windows_pending", this->duty.PendingCount() } };
}

} // namespace fireflytrail::proxy
