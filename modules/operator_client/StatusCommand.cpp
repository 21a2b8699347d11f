#include "operator_client/StatusCommand.h"

#include "configuration/OperatorText.h"
#include "operator_client/DesiredStateEditor.h"
#include "operator_client/MoveText.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <cassert>
#include <utility>

namespace fireflytrail::operator_client {

namespace json = boost::json;
using store::StoreStatus;

namespace {

std::string
ScalarText(const json::value& aValue)
{
  return aValue.is_string() ? std::string(aValue.get_string())
                            : json::serialize(aValue);
}

/** Returns the members of an object as `name=value`, without arrays and
 * objects. */
std::string
DescribeMembers(const json::object& aObject)
{
  std::string text;
  for (const auto& [name, value] : aObject) {
    if (!value.is_structured()) {
      text += fmt::format("{}{}={}",
                          text.empty() ? "" : " ",
                          std::string_view(name),
                          ScalarText(value));
    }
  }
  return text;
}

} // namespace

StatusCommand::StatusCommand(StoreAccess aStore,
                             DaemonAccess aGetFromDaemon,
                             CommandOutput aOutput)
  : store(std::move(aStore))
  , getFromDaemon(std::move(aGetFromDaemon))
  , output(std::move(aOutput))
{
  assert(this->store.read && this->store.hosts && this->getFromDaemon);
}

ExitCode
StatusCommand::Run(const std::string& aDaemonAddress) const
{
  const store::HostsResult hosts = this->store.hosts();
  ExitCode daemonCode = ExitCode::Unavailable;
  if (!aDaemonAddress.empty()) {
    daemonCode = this->PrintDaemon(aDaemonAddress);
  } else {
    for (const store::HostEntry& host : hosts.list.hosts) {
      if (host.kind == store::HostKind::Entry &&
          host.state == store::HostState::Live && daemonCode != ExitCode::Ok) {
        daemonCode = this->PrintDaemon(host.operatorAddress);
      }
    }
    if (daemonCode != ExitCode::Ok) {
      this->output.error("no entry daemon answers; try --daemon IP:PORT");
    }
  }
  const ExitCode hostListCode = this->PrintHostList(hosts);
  const ExitCode moveCode = this->PrintMoves();
  return std::max({ daemonCode, hostListCode, moveCode });
}

ExitCode
StatusCommand::PrintDaemon(const std::string& aDaemonAddress) const
{
  const auto body = this->getFromDaemon(aDaemonAddress, "/status");
  if (!body) {
    this->output.error(body.error().detail);
    return ExitCode::Unavailable;
  }
  boost::system::error_code error;
  const json::value root = json::parse(body.value(), error);
  const json::object* status = error ? nullptr : root.if_object();
  if (status == nullptr) {
    this->output.error(fmt::format("{}/status: the answer is not a JSON object",
                                   aDaemonAddress));
    return ExitCode::Unavailable;
  }
  this->output.out(
    fmt::format("daemon {}: {}", aDaemonAddress, DescribeMembers(*status)));
  const json::value* list = status->if_contains("hosts");
  if (list != nullptr && list->is_array()) {
    for (const json::value& host : list->get_array()) {
      if (host.is_object()) {
        this->output.out("host " + DescribeMembers(host.get_object()));
      }
    }
  }
  return ExitCode::Ok;
}

ExitCode
StatusCommand::PrintHostList(const store::HostsResult& aHosts) const
{
  if (aHosts.status != StoreStatus::Ok) {
    this->output.error(
      fmt::format("cannot read the host list: {}", aHosts.detail));
    return ExitCode::Unavailable;
  }
  for (const store::HostEntry& host : aHosts.list.hosts) {
    const bool isServer = host.kind == store::HostKind::Server;
    this->output.out(fmt::format(
      "listed {} {}: {}{} domain={} {}",
      isServer ? "server" : "entry",
      host.id,
      isServer ? fmt::format("{} version={} ", host.service, host.version) : "",
      host.address,
      host.domain,
      host.state == store::HostState::Live ? "live" : "leaving"));
  }
  return ExitCode::Ok;
}

ExitCode
StatusCommand::PrintMoves() const
{
  ExitCode code = ExitCode::Ok;
  const auto current = DesiredStateEditor(this->store, this->output).Read(code);
  if (!current) {
    return code;
  }
  if (current->version == 0) {
    this->output.out("store: no text yet");
    return ExitCode::Ok;
  }
  const auto text = configuration::OperatorText::Parse(current->state.text);
  this->output.out(fmt::format("store: version {}, text version {}{}",
                               current->version,
                               current->state.textVersion,
                               text ? " of " + text.value().name : ""));
  for (const configuration::Move& move : current->state.moves) {
    this->output.out(DescribeMove(move));
  }
  return ExitCode::Ok;
}

} // namespace fireflytrail::operator_client
