#include "operator_client/CapacityCheck.h"

#include "configuration/OperatorText.h"
#include "moves/DomainCapacity.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <cassert>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace fireflytrail::operator_client {

namespace json = boost::json;
using moves::DomainCapacity;

namespace {

/** Calls in flight by server, as reported to one daemon. */
using InFlight = std::map<std::string, double>;

std::optional<InFlight>
ParseDump(const std::string& aText)
{
  boost::system::error_code error;
  const json::value root = json::parse(aText, error);
  const json::object* dump = error ? nullptr : root.if_object();
  const json::value* servers =
    dump == nullptr ? nullptr : dump->if_contains("servers");
  if (servers == nullptr || !servers->is_array()) {
    return std::nullopt;
  }
  InFlight inFlight;
  for (const json::value& item : servers->get_array()) {
    const json::object* server = item.if_object();
    const json::value* id =
      server == nullptr ? nullptr : server->if_contains("id");
    const json::value* reported =
      server == nullptr ? nullptr : server->if_contains("reported_in_flight");
    if (id == nullptr || !id->is_string() || reported == nullptr ||
        !reported->is_number()) {
      return std::nullopt;
    }
    inFlight[std::string(id->get_string())] = reported->to_number<double>();
  }
  return inFlight;
}

} // namespace

CapacityCheck::CapacityCheck(StoreAccess aStore,
                             DaemonAccess aDaemon,
                             std::string aDaemonAddress,
                             std::function<void()> aPause)
  : store(std::move(aStore))
  , daemon(std::move(aDaemon))
  , daemonAddress(std::move(aDaemonAddress))
  , pause(std::move(aPause))
{
  assert(this->store.hosts && this->daemon && this->pause);
}

MoveCommand::Capacity
CapacityCheck::Run(const configuration::DesiredState& aState,
                   const std::string& aFailureDomain) const
{
  const auto text = configuration::OperatorText::Parse(aState.text);
  if (!text) {
    return { false, "the text in the store cannot be read" };
  }
  const store::HostsResult hosts = this->store.hosts();
  if (hosts.status != store::StoreStatus::Ok) {
    return { false, "capacity unknown: no host list: " + hosts.detail };
  }
  std::vector<std::string> addresses{ this->daemonAddress };
  if (this->daemonAddress.empty()) {
    addresses.clear();
    for (const store::HostEntry& host : hosts.list.hosts) {
      if (host.kind == store::HostKind::Entry &&
          host.state == store::HostState::Live) {
        addresses.push_back(host.operatorAddress);
      }
    }
  }
  InFlight sum;
  int samples = 0;
  for (const std::string& address : addresses) {
    while (samples < kSamples) {
      const auto body = this->daemon(address, "/dump");
      const auto sample = body ? ParseDump(body.value()) : std::nullopt;
      if (!sample) {
        break;
      }
      for (const auto& [id, count] : *sample) {
        sum[id] += count;
      }
      if (++samples < kSamples) {
        this->pause();
      }
    }
    if (samples > 0) {
      break;
    }
  }
  if (samples == 0) {
    return { false, "capacity unknown: no entry daemon reports the load" };
  }
  DomainCapacity::Load load;
  for (const store::HostEntry& host : hosts.list.hosts) {
    const auto* service = text.value().FindService(host.service);
    if (host.kind != store::HostKind::Server ||
        host.state != store::HostState::Live || service == nullptr ||
        host.version !=
          aState.VersionInForce(service->name, service->version)) {
      continue;
    }
    DomainCapacity::Slots& slots = load[host.service][host.domain];
    slots.total += service->slots;
    const auto found = sum.find(host.id);
    if (found != sum.end()) {
      // Calls that wait for a slot need one as well, so they count in full.
      slots.busy += found->second / samples;
    }
  }
  // A service whose servers are all missing has no capacity anywhere.
  for (const auto& [name, service] : text.value().services) {
    load.try_emplace(name);
  }
  std::set<std::string> out;
  for (const std::string& domain : text.value().FailureDomains()) {
    if (aState.IsDomainOut(domain)) {
      out.insert(domain);
    }
  }
  const auto report = DomainCapacity::Check(load, aFailureDomain, out);
  std::string figures = report.ToString();
  if (figures.ends_with('\n')) {
    figures.pop_back();
  }
  return { report.isEnough, std::move(figures) };
}

} // namespace fireflytrail::operator_client
