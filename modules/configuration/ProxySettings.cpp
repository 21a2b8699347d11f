#include "configuration/ProxySettings.h"

#include "configuration/ObjectReader.h"
#include "configuration/TextChecks.h"

#include <algorithm>
#include <limits>

namespace fireflytrail::configuration {

namespace {

constexpr std::int64_t kMaxStopMilliseconds = 600'000;
constexpr std::int64_t kMaxReportMilliseconds = 600'000;
constexpr std::int64_t kMaxLogBytesPerSecond = 1 << 30;
constexpr std::int64_t kMaxHosts = 100'000;
constexpr double kMaxFreeRetries = 1e6;
constexpr double kMaxProcessorShare = 1024;
constexpr double kMaxLinkMegabitsPerSecond = 1e6;
constexpr double kMinMemoryMegabytes = 32;
constexpr double kMaxMemoryMegabytes = 1e6;

constexpr std::int64_t kMinUsageMilliseconds = 1000;
constexpr std::int64_t kMaxUsageMilliseconds = 86'400'000;
constexpr std::int64_t kMinLeaseMilliseconds = 1000;
constexpr double kMaxUsageCallsPerSecond = 1000;

// Share of the memory for bodies. The daemon itself takes up to 50 MB, and a
// body of unknown length up to twice its size while it grows.
constexpr double kBodyMemoryShare = 0.4;
// Share for heads and buffers, which bodies must leave free.
constexpr double kBufferMemoryShare = 0.1;
// Share for the kernel's buffers of callers' connections, in each direction,
// and for the connections themselves.
constexpr double kSocketMemoryShare = 0.1;
constexpr double kConnectionMemoryShare = 0.25;
// Memory of an idle connection, with what the kernel keeps of it.
constexpr double kConnectionBytes = 12.0 * 1024;
constexpr std::int64_t kMaxConnections = 1 << 24;
// Shares of memory and descriptors for connections from other daemons, and the
// memory of one with its buffer. Each host opens one connection; those of
// processes that lost power remain for a while.
constexpr double kPeerMemoryShare = 0.125;
constexpr double kPeerConnectionBytes = 24.0 * 1024;
constexpr std::size_t kPeerPart = 6;
constexpr std::size_t kMinPeerConnections = 64;
constexpr double kBytesPerMegabyte = 1024.0 * 1024.0;

constexpr std::int64_t kMinDescriptors = 32;
constexpr std::int64_t kMaxDescriptors = 1 << 24;
// Descriptors that the platform keeps for files, a quarter at most, and the
// share of the others for callers. Each request in progress has a connection to
// a server, but most connections of callers are idle.
constexpr std::size_t kFileDescriptors = 200;
constexpr std::size_t kMaxFilePart = 4;
constexpr double kCallerShare = 0.75;

// Minimum bandwidth and processor share of a host that works for the others.
// The link must transfer 1.5 MB in a quarter of a second, and 1,000 short
// messages a second must use at most a tenth of the processor share.
constexpr double kStrongLinkMegabitsPerSecond = 50;
constexpr double kStrongProcessorShare = 0.2;

Endpoint
ReadEndpoint(ObjectReader& aReader, std::string_view aName)
{
  return Endpoint::Parse(aReader.String(aName, {}, CheckEndpoint))
    .value_or(Endpoint{});
}

/** Reads a time in milliseconds, or in seconds, which may be a fraction. */
std::chrono::milliseconds
ReadUsageTime(ObjectReader& aReader,
              const std::string& aName,
              std::chrono::milliseconds aDefault)
{
  const std::chrono::milliseconds time(aReader.Integer(aName + "_ms",
                                                       kMinUsageMilliseconds,
                                                       kMaxUsageMilliseconds,
                                                       aDefault.count()));
  const double seconds = aReader.Number(
    aName + "_s", 0, static_cast<double>(kMaxUsageMilliseconds) / 1000, 0);
  return seconds > 0 ? std::chrono::round<std::chrono::milliseconds>(
                         std::chrono::duration<double>(seconds))
                     : time;
}

void
ReadUsageSettings(ObjectReader& aReader, ProxySettings& aSettings)
{
  aSettings.usageReportAddress =
    Endpoint::Parse(aReader.String("usage_report_address", "", CheckEndpoint));
  aSettings.usageWindow =
    ReadUsageTime(aReader, "usage_window", aSettings.usageWindow);
  aSettings.usageLate =
    ReadUsageTime(aReader, "usage_late", aSettings.usageLate);
  aSettings.usageCallsPerSecond = aReader.Number("usage_calls_per_second",
                                                 0,
                                                 kMaxUsageCallsPerSecond,
                                                 aSettings.usageCallsPerSecond);
  if (aSettings.usageCallsPerSecond <= 0) {
    aSettings.usageCallsPerSecond = 1;
  }
  aSettings.lease =
    std::chrono::milliseconds(aReader.Integer("lease_ms",
                                              kMinLeaseMilliseconds,
                                              kMaxUsageMilliseconds,
                                              aSettings.lease.count()));
}

} // namespace

Checked<ProxySettings>
ProxySettings::Parse(std::string_view aText)
{
  auto root = LocatedValue::Parse(aText);
  if (!root) {
    return root.error();
  }
  std::vector<TextError> errors;
  ObjectReader reader(root.value(), "", errors);
  // The platform fills in `null` for a field that it does not have.
  reader.TreatNullAsAbsent();
  ProxySettings settings;
  settings.name = reader.String("name");
  settings.failureDomain = reader.String("failure_domain");
  settings.store = ReadEndpoint(reader, "store");
  settings.listen = ReadEndpoint(reader, "listen");
  settings.readyListen = ReadEndpoint(reader, "ready_listen");
  settings.operatorListen = ReadEndpoint(reader, "operator_listen");
  settings.peerListen = ReadEndpoint(reader, "peer_listen");
  for (const std::string& peer :
       reader.StringList("first_peers", false, CheckEndpoint)) {
    settings.seedPeers.push_back(Endpoint::Parse(peer).value_or(Endpoint{}));
  }
  settings.logLevel =
    reader.Choice<core::LogLevel>("log_level",
                                  { { "debug", core::LogLevel::Debug },
                                    { "info", core::LogLevel::Info },
                                    { "warning", core::LogLevel::Warning },
                                    { "error", core::LogLevel::Error } },
                                  core::LogLevel::Info);
  settings.logBytesPerSecond = static_cast<std::size_t>(reader.Integer(
    "log_bytes_per_second", 1024, kMaxLogBytesPerSecond, 65'536));
  settings.stopLimit = std::chrono::milliseconds(
    reader.Integer("stop_limit_ms", 1, kMaxStopMilliseconds, 6000));
  const double stopSeconds = reader.Number(
    "stop_limit_s", 0, static_cast<double>(kMaxStopMilliseconds) / 1000, 0);
  if (stopSeconds > 0) {
    settings.stopLimit = std::chrono::round<std::chrono::milliseconds>(
      std::chrono::duration<double>(stopSeconds));
  }
  settings.reportInterval = std::chrono::milliseconds(
    reader.Integer("report_interval_ms", 1, kMaxReportMilliseconds, 1500));
  settings.retryRatio = reader.Number("retry_ratio", 0, 1, 0.2);
  settings.freeRetries = reader.Number("free_retries", 0, kMaxFreeRetries, 64);
  settings.trialShare = reader.Number("trial_share", 0, 1, 0.1);
  settings.processorShare =
    reader.Number("processor_share", 0, kMaxProcessorShare, 1);
  settings.memoryMegabytes =
    reader.Number("memory_mb", kMinMemoryMegabytes, kMaxMemoryMegabytes, 256);
  settings.maxDescriptors = static_cast<std::size_t>(
    reader.Integer("max_descriptors", kMinDescriptors, kMaxDescriptors, 0));
  settings.maxCallerConnections = static_cast<std::size_t>(
    reader.Integer("max_caller_connections", 1, kMaxConnections, 0));
  settings.maxOperatorConnections = static_cast<std::size_t>(
    reader.Integer("max_operator_connections", 2, kMaxConnections, 64));
  settings.maxPeerConnections = static_cast<std::size_t>(
    reader.Integer("max_peer_connections", 1, kMaxConnections, 0));
  settings.linkMegabitsPerSecond =
    reader.Number("link_mbps", 0, kMaxLinkMegabitsPerSecond, 1000);
  settings.expectedHosts =
    static_cast<unsigned>(reader.Integer("expected_hosts", 1, kMaxHosts, 19));
  ReadUsageSettings(reader, settings);
  settings.orderOfService = reader.Choice<OrderOfService>(
    "order_of_service",
    { { "newest_first", OrderOfService::NewestFirst },
      { "by_worth", OrderOfService::ByWorth } },
    OrderOfService::NewestFirst);
  reader.Finish();
  if (!errors.empty()) {
    std::ranges::stable_sort(errors, {}, &TextError::line);
    return errors;
  }
  return settings;
}

std::size_t
ProxySettings::BodyMemoryBytes() const
{
  return static_cast<std::size_t>(this->memoryMegabytes * kBytesPerMegabyte *
                                  kBodyMemoryShare);
}

std::size_t
ProxySettings::MaxCallerConnections() const
{
  if (this->maxCallerConnections > 0) {
    return this->maxCallerConnections;
  }
  const auto byMemory =
    static_cast<std::size_t>(this->memoryMegabytes * kBytesPerMegabyte *
                             kConnectionMemoryShare / kConnectionBytes);
  if (this->maxDescriptors == 0) {
    return byMemory;
  }
  const std::size_t forFiles =
    std::min(kFileDescriptors, this->maxDescriptors / kMaxFilePart);
  const auto byDescriptors = static_cast<std::size_t>(
    static_cast<double>(this->maxDescriptors - forFiles) * kCallerShare);
  return std::min(byMemory, byDescriptors);
}

std::size_t
ProxySettings::MaxPeerConnections() const
{
  if (this->maxPeerConnections > 0) {
    return this->maxPeerConnections;
  }
  const auto byMemory =
    static_cast<std::size_t>(this->memoryMegabytes * kBytesPerMegabyte *
                             kPeerMemoryShare / kPeerConnectionBytes);
  const std::size_t byDescriptors =
    this->maxDescriptors == 0 ? byMemory : this->maxDescriptors / kPeerPart;
  return std::max(kMinPeerConnections, std::min(byMemory, byDescriptors));
}

std::size_t
ProxySettings::SocketMemoryBytes() const
{
  return static_cast<std::size_t>(this->memoryMegabytes * kBytesPerMegabyte *
                                  kSocketMemoryShare);
}

std::size_t
ProxySettings::BufferMemoryBytes() const
{
  return static_cast<std::size_t>(this->memoryMegabytes * kBytesPerMegabyte *
                                  kBufferMemoryShare);
}

bool
ProxySettings::IsStrong() const
{
  return this->linkMegabitsPerSecond >= kStrongLinkMegabitsPerSecond &&
         this->processorShare >= kStrongProcessorShare;
}

} // namespace fireflytrail::configuration
