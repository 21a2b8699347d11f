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

/** Calls in flight by server id, as the servers reported to one daemon. */
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
                             DaemonAccess aGetFromDaemon,
                             std::string aDaemonAddress,
                             std::function<void()> aPause)
  : store(std::move(aStore))
  , getFromDaemon(std::move(aGetFromDaemon))
  , daemonAddress(std::move(aDaemonAddress))
  , pause(std::move(aPause))
{
  assert(this->store.hosts && this->getFromDaemon && this->pause);
}

MoveCommand::Capacity
CapacityCheck::Run(const configuration::DesiredState& aState,
                   const std::string& aFailureDomain) const
{
  const auto text = configuration::OperatorText::Parse(aState.text);
  if (!text) {
    return { false, "the operators' text in the store cannot be parsed" };
  }
  const store::HostsResult hosts = this->store.hosts();
  if (hosts.status != store::StoreStatus::Ok) {
    return { false,
             "capacity unknown: cannot read the host list: " + hosts.detail };
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
  InFlight inFlightTotals;
  int samples = 0;
  for (const std::string& address : addresses) {
    while (samples < kSampleCount) {
      const auto body = this->getFromDaemon(address, "/dump");
      const auto sample = body ? ParseDump(body.value()) : std::nullopt;
      if (!sample) {
        break;
      }
      for (const auto& [id, count] : *sample) {
        inFlightTotals[id] += count;
      }
      if (++samples < kSampleCount) {
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
    const auto found = inFlightTotals.find(host.id);
    if (found != inFlightTotals.end()) {
      // Calls that wait for a slot will need one too, so they count in full.
      slots.busy += found->second / samples;
    }
  }
  // A service without any usable server is included with zero capacity.
  for (const auto& [name, service] : text.value().services) {
    load.try_emplace(name);
  }
  std::set<std::string> domainsOut;
  for (const std::string& domain : text.value().FailureDomains()) {
    if (aState.IsDomainOut(domain)) {
      domainsOut.insert(domain);
    }
  }
  const auto report = DomainCapacity::Check(load, aFailureDomain, domainsOut);
  std::string details = report.ToString();
  if (details.ends_with('\n')) {
    details.pop_back();
  }
  return { report.isEnough, std::move(details) };
}

} // namespace fireflytrail::operator_client
