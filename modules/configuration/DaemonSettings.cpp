#include "configuration/DaemonSettings.h"

#include "configuration/ObjectReader.h"
#include "configuration/TextChecks.h"

#include <fmt/format.h>

#include <algorithm>

namespace fireflytrail::configuration {

namespace {

constexpr std::int64_t kMaxTrafficThreads = 64;
constexpr std::int64_t kMaxDrainMilliseconds = 600'000;

Endpoint
ReadEndpoint(ObjectReader& aReader, std::string_view aName)
{
  return Endpoint::Parse(aReader.String(aName, {}, CheckEndpoint))
    .value_or(Endpoint{});
}

} // namespace

Checked<DaemonSettings>
DaemonSettings::Parse(std::string_view aText)
{
  auto root = LocatedValue::Parse(aText);
  if (!root) {
    return root.error();
  }
  std::vector<TextError> errors;
  ObjectReader reader(root.value(), "", errors);
  DaemonSettings settings;
  settings.name = reader.String("name", {}, CheckName);
  settings.region = reader.String("region", {}, CheckName);
  settings.failureDomain = reader.String("failure_domain", {}, CheckName);
  settings.store = ReadEndpoint(reader, "store");
  if (settings.store.port == 0 && errors.empty()) {
    reader.AddError("store", "must have a port from 1 to 65535");
  }
  settings.listen = ReadEndpoint(reader, "listen");
  settings.peerListen = ReadEndpoint(reader, "peer_listen");
  settings.operatorListen = ReadEndpoint(reader, "operator_listen");
  if (const auto* peers =
        reader.Container("peers", LocatedValue::Kind::Object, false)) {
    ObjectReader peerReader(*peers, "peers", errors);
    for (const std::string& name : peers->keys) {
      settings.peers[name] = ReadEndpoint(peerReader, name);
    }
    peerReader.Finish();
  }
  settings.trafficThreads = static_cast<unsigned>(
    reader.Integer("traffic_threads", 1, kMaxTrafficThreads, 1));
  settings.logLevel =
    reader.Choice<core::LogLevel>("log_level",
                                  { { "debug", core::LogLevel::Debug },
                                    { "info", core::LogLevel::Info },
                                    { "warning", core::LogLevel::Warning },
                                    { "error", core::LogLevel::Error } },
                                  core::LogLevel::Info);
  settings.drainLimit = std::chrono::milliseconds(
    reader.Integer("drain_limit_ms", 1, kMaxDrainMilliseconds, 30'000));
  reader.Finish();
  if (!errors.empty()) {
    std::ranges::stable_sort(errors, {}, &TextError::line);
    return errors;
  }
  return settings;
}

std::vector<TextError>
DaemonSettings::CheckAgainst(const OperatorText& aText) const
{
  std::vector<TextError> errors;
  const std::string regionOfDomain = aText.RegionOf(this->failureDomain);
  if (regionOfDomain.empty()) {
    errors.push_back(
      { 0,
        "failure_domain",
        fmt::format("\"{}\" is not in the operators' text; allowed are {}",
                    this->failureDomain,
                    fmt::join(aText.FailureDomains(), ", ")) });
  } else if (regionOfDomain != this->region) {
    errors.push_back({ 0,
                       "region",
                       fmt::format("must be \"{}\", the region of {}",
                                   regionOfDomain,
                                   this->failureDomain) });
  }
  if (this->drainLimit < aText.LargestDeadline()) {
    errors.push_back(
      { 0,
        "drain_limit_ms",
        fmt::format("must be at least {}, the largest deadline of the text",
                    aText.LargestDeadline().count()) });
  }
  return errors;
}

} // namespace fireflytrail::configuration
