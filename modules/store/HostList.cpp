#include "store/HostList.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <fmt/format.h>

#include <set>
#include <string>
#include <utility>

namespace fireflytrail::store {

namespace json = boost::json;

namespace {

core::Error
Invalid(std::string aDetail)
{
  return { core::ErrorKind::AnswerInvalid, "host list: " + std::move(aDetail) };
}

bool
ReadText(const json::object& aObject,
         std::string_view aName,
         bool aRequired,
         std::string& aText)
{
  const json::value* value = aObject.if_contains(aName);
  if (value == nullptr || value->is_null()) {
    return !aRequired;
  }
  if (!value->is_string()) {
    return false;
  }
  aText = value->get_string();
  return !aRequired || !aText.empty();
}

core::Result<HostEntry>
ParseEntry(const json::object& aObject, std::size_t aIndex)
{
  HostEntry entry;
  std::string kind;
  std::string state;
  if (!ReadText(aObject, "kind", true, kind) ||
      (kind != "entry" && kind != "server")) {
    return Invalid(fmt::format("hosts[{}].kind", aIndex));
  }
  entry.kind = kind == "entry" ? HostKind::Entry : HostKind::Server;
  const bool isServer = entry.kind == HostKind::Server;
  if (!ReadText(aObject, "state", true, state) ||
      (state != "live" && state != "leaving")) {
    return Invalid(fmt::format("hosts[{}].state", aIndex));
  }
  entry.state = state == "live" ? HostState::Live : HostState::Leaving;
  const std::initializer_list<std::tuple<std::string_view, bool, std::string*>>
    texts{ { "id", true, &entry.id },
           { "service", isServer, &entry.service },
           { "version", isServer, &entry.version },
           { "address", true, &entry.address },
           { "peer_address", !isServer, &entry.peerAddress },
           { "operator_address", !isServer, &entry.operatorAddress },
           { "domain", true, &entry.domain },
           { "region", true, &entry.region } };
  for (const auto& [name, required, text] : texts) {
    if (!ReadText(aObject, name, required, *text)) {
      return Invalid(fmt::format("hosts[{}].{}", aIndex, name));
    }
  }
  return entry;
}

} // namespace

core::Result<HostList>
HostList::Parse(std::string_view aText)
{
  boost::system::error_code error;
  const json::value root = json::parse({ aText.data(), aText.size() }, error);
  const json::object* object = error ? nullptr : root.if_object();
  if (object == nullptr) {
    return Invalid("not a JSON object");
  }
  const json::value* version = object->if_contains("version");
  const json::value* hosts = object->if_contains("hosts");
  if (version == nullptr || !version->is_int64() || version->get_int64() < 0) {
    return Invalid("version");
  }
  if (hosts == nullptr || !hosts->is_array()) {
    return Invalid("hosts");
  }
  HostList list;
  list.version = static_cast<std::uint64_t>(version->get_int64());
  std::set<std::string_view> ids;
  for (const json::value& item : hosts->get_array()) {
    const std::size_t index = list.hosts.size();
    if (!item.is_object()) {
      return Invalid(fmt::format("hosts[{}]", index));
    }
    auto entry = ParseEntry(item.get_object(), index);
    if (!entry) {
      return entry.error();
    }
    if (!ids.insert(item.get_object().at("id").get_string()).second) {
      return Invalid(fmt::format("hosts[{}].id is used twice", index));
    }
    list.hosts.push_back(std::move(entry).value());
  }
  return list;
}

} // namespace fireflytrail::store
