#include "soak/ObjectStore.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/url/pct_string_view.hpp>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <string_view>
#include <utility>
#include <vector>

namespace fireflytrail::soak {

namespace asio = boost::asio;
namespace json = boost::json;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

// Time before a silent store closes the connection; longer than any daemon
// waits.
constexpr auto kSilenceTime = 30s;
// Interval at which a waiting watch checks for changes.
constexpr auto kPollInterval = 5ms;

/** Decodes a part of a target as servers do; nothing if an escape is malformed.
 * In a query, a plus sign stands for a blank. */
std::optional<std::string>
Decode(std::string_view aText, bool aIsQuery)
{
  const auto view = boost::urls::make_pct_string_view(aText);
  if (!view) {
    return std::nullopt;
  }
  boost::urls::encoding_opts options;
  options.space_as_plus = aIsQuery;
  return view->decode(options);
}

/** Returns the encoded value of a query parameter; nothing if it is missing. */
std::optional<std::string_view>
FindParameter(std::string_view aQuery, std::string_view aName)
{
  while (!aQuery.empty()) {
    const std::string_view part = aQuery.substr(0, aQuery.find('&'));
    if (part.starts_with(aName) && part.substr(aName.size()).starts_with('=')) {
      return part.substr(aName.size() + 1);
    }
    aQuery.remove_prefix(std::min(part.size() + 1, aQuery.size()));
  }
  return std::nullopt;
}

/** Returns the value of a numeric query parameter, 0 if it is missing or not a
 * number. */
std::uint64_t
ParseQueryNumber(std::string_view aQuery, std::string_view aName)
{
  const std::string_view text = FindParameter(aQuery, aName).value_or("");
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

/** Returns the decoded segments of a path that starts with a slash; nothing if
 * one cannot be decoded. */
std::optional<std::vector<std::string>>
SplitPath(std::string_view aPath)
{
  std::vector<std::string> parts;
  while (!aPath.empty()) {
    aPath.remove_prefix(1);
    const std::string_view part = aPath.substr(0, aPath.find('/'));
    auto decoded = Decode(part, false);
    if (!decoded) {
      return std::nullopt;
    }
    parts.push_back(std::move(*decoded));
    aPath.remove_prefix(part.size());
  }
  return parts;
}

} // namespace

ObjectStore::ObjectStore(asio::io_context& aContext)
  : context(aContext)
  , service(
      std::make_shared<HttpService>(aContext, [this](HttpRequest aRequest) {
        return this->Handle(std::move(aRequest));
      }))
{
}

asio::ip::tcp::endpoint
ObjectStore::Open()
{
  return this->Open({ asio::ip::make_address("127.0.0.1"), 0 });
}

asio::ip::tcp::endpoint
ObjectStore::Open(const asio::ip::tcp::endpoint& aEndpoint)
{
  this->service->Open(aEndpoint);
  return this->service->Endpoint();
}

void
ObjectStore::Put(const std::string& aKind,
                 const std::string& aName,
                 json::value aSpec)
{
  json::value& value = this->objectsByKind[aKind][aName];
  json::object& object =
    value.is_object() ? value.get_object() : value.emplace_object();
  if (!object.contains("Metadata")) {
    object["Metadata"] = json::object{ { "Name", aName },
                                       { "CreatedRev", this->revision + 1 },
                                       { "Finalizers", json::array() },
                                       { "Deleting", false } };
    object["Status"] = nullptr;
  }
  object["Spec"] = std::move(aSpec);
  this->RecordChange(aKind, object, false);
}

void
ObjectStore::Remove(const std::string& aKind, const std::string& aName)
{
  ObjectsByName& objects = this->objectsByKind[aKind];
  const auto found = objects.find(aName);
  if (found == objects.end()) {
    return;
  }
  json::value value = std::move(found->second);
  objects.erase(found);
  if (value.is_object() && value.get_object().contains("Metadata")) {
    this->RecordChange(aKind, value.get_object(), true);
  }
}

void
ObjectStore::Copy()
{
  this->copiedRevision = this->revision;
  this->copiedObjects = this->objectsByKind;
}

void
ObjectStore::ReturnOlder()
{
  this->undoneObjects = std::exchange(this->objectsByKind, this->copiedObjects);
  this->revision = this->copiedRevision;
  this->oldestRevision = std::min(this->oldestRevision, this->revision);
  std::erase_if(this->changes, [this](const Change& aChange) {
    return aChange.revision > this->copiedRevision;
  });
  ++this->era;
}

bool
ObjectStore::IsWrittenAfter(std::uint64_t aRevision, const json::value& aObject)
{
  const json::object* object = aObject.if_object();
  const json::value* metadata =
    object == nullptr ? nullptr : object->if_contains("Metadata");
  return metadata != nullptr && metadata->is_object() &&
         metadata->as_object().contains("Revision") &&
         metadata->at("Revision").to_number<std::uint64_t>() > aRevision;
}

void
ObjectStore::WriteAgain()
{
  for (const auto& [kind, objects] : this->undoneObjects) {
    for (const auto& [name, object] : objects) {
      const ObjectsByName& present = this->objectsByKind[kind];
      const auto found = present.find(name);
      if (IsWrittenAfter(this->copiedRevision, object) &&
          object.as_object().contains("Spec") &&
          (found == present.end() ||
           !IsWrittenAfter(this->copiedRevision, found->second))) {
        this->Put(kind, name, object.at("Spec"));
      }
    }
  }
}

void
ObjectStore::RemoveAgain(const std::string& aKind)
{
  std::vector<std::string> names;
  for (const auto& [name, object] : this->objectsByKind[aKind]) {
    if (!this->undoneObjects[aKind].contains(name) &&
        !IsWrittenAfter(this->copiedRevision, object)) {
      names.push_back(name);
    }
  }
  for (const std::string& name : names) {
    this->Remove(aKind, name);
  }
}

std::string
ObjectStore::StateOf(const std::string& aKind, const std::string& aName) const
{
  const auto kind = this->objectsByKind.find(aKind);
  const auto object = kind == this->objectsByKind.end()
                        ? ObjectsByName::const_iterator()
                        : kind->second.find(aName);
  if (kind == this->objectsByKind.end() || object == kind->second.end()) {
    return {};
  }
  const json::object* status = object->second.at("Status").if_object();
  return status == nullptr ? std::string()
                           : std::string(status->at("State").as_string());
}

void
ObjectStore::RecordChange(const std::string& aKind,
                          json::object& aObject,
                          bool aIsDeleted)
{
  aObject["Metadata"].as_object()["Revision"] = ++this->revision;
  this->changes.push_back(
    { this->revision,
      aKind,
      json::object{ { "Deleted", aIsDeleted }, { "Object", aObject } } });
}

asio::awaitable<std::optional<HttpResponse>>
ObjectStore::Handle(HttpRequest aRequest)
{
  if (this->mode == Mode::Silent) {
    asio::steady_timer silence(this->context, kSilenceTime);
    co_await silence.async_wait(asio::use_awaitable);
    co_return std::nullopt;
  }
  if (this->mode == Mode::Refusing) {
    co_return MakeResponse(503, json::object());
  }
  const bool isResponseLost = this->mode == Mode::LosingAnswers;
  std::string_view target(aRequest.target().data(), aRequest.target().size());
  // A fragment is not part of what a server looks at.
  target = target.substr(0, target.find('#'));
  const std::size_t end = std::min(target.find('?'), target.size());
  const auto decodedPath = SplitPath(target.substr(0, end));
  if (!decodedPath) {
    co_return MakeResponse(400, json::object());
  }
  const std::vector<std::string>& path = *decodedPath;
  const std::string query(target.substr(std::min(end + 1, target.size())));
  std::optional<HttpResponse> response;
  if (path.size() == 2 && path[1] == this->refusedKind &&
      aRequest.method() == boost::beast::http::verb::get) {
    response = MakeResponse(400, json::object());
  } else if (path.size() == 2 && FindParameter(query, "Watch")) {
    response =
      co_await this->Watch(path[1],
                           ParseQueryNumber(query, "Watch"),
                           milliseconds(ParseQueryNumber(query, "WaitMs")));
  } else if (path.size() == 2 &&
             aRequest.method() == boost::beast::http::verb::post) {
    response = this->Write(path[1], {}, aRequest.body());
  } else if (path.size() == 3) {
    response = aRequest.method() == boost::beast::http::verb::put
                 ? this->Write(path[1], path[2], aRequest.body())
                 : this->Get(path[1], path[2]);
  } else if (path.size() == 2) {
    response = this->List(path[1], FindParameter(query, "after"));
  } else if (path.size() == 4 &&
             aRequest.method() == boost::beast::http::verb::put) {
    response = this->PutStatus(path[1], path[2], aRequest.body());
  } else {
    response = MakeResponse(404, json::object());
  }
  response->set("Store-Era", std::to_string(this->era));
  co_return isResponseLost ? std::nullopt : response;
}

asio::awaitable<HttpResponse>
ObjectStore::Watch(std::string aKind,
                   std::uint64_t aRevision,
                   milliseconds aWait)
{
  const auto end = std::chrono::steady_clock::now() + aWait;
  for (;;) {
    if (aRevision < this->oldestRevision || aRevision > this->revision) {
      co_return MakeResponse(410, json::object{ { "AsOf", this->revision } });
    }
    json::array events;
    for (const Change& change : this->changes) {
      if (change.revision > aRevision && change.kind == aKind) {
        events.push_back(change.event);
      }
    }
    if (!events.empty() || std::chrono::steady_clock::now() >= end) {
      co_return MakeResponse(200,
                             json::object{ { "events", std::move(events) },
                                           { "AsOf", this->revision } });
    }
    asio::steady_timer timer(this->context, kPollInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

HttpResponse
ObjectStore::List(const std::string& aKind,
                  std::optional<std::string_view> aAfter)
{
  ++this->listCount;
  const ObjectsByName& objects = this->objectsByKind[aKind];
  auto next = objects.begin();
  if (aAfter && this->unknownCursor != UnknownCursor::AllIgnored) {
    const auto name = Decode(*aAfter, true);
    const bool isKnown = name && objects.contains(*name);
    if (!isKnown &&
        (this->unknownCursor == UnknownCursor::Refused ||
         (!name && this->unknownCursor != UnknownCursor::Ignored))) {
      return MakeResponse(400, json::object());
    }
    if (isKnown || this->unknownCursor == UnknownCursor::Accepted) {
      next = objects.upper_bound(*name);
    }
  }
  json::array items;
  for (; next != objects.end() && items.size() < this->pageSize; ++next) {
    items.push_back(next->second);
  }
  return MakeResponse(200,
                      json::object{ { "items", std::move(items) },
                                    { "More", next != objects.end() },
                                    { "AsOf", this->revision } });
}

HttpResponse
ObjectStore::PutStatus(const std::string& aKind,
                       const std::string& aName,
                       const std::string& aBody)
{
  ObjectsByName& objects = this->objectsByKind[aKind];
  const auto found = objects.find(aName);
  if (found == objects.end()) {
    return MakeResponse(404, json::object());
  }
  const json::value body = json::parse(aBody);
  const auto storedRevision =
    found->second.at("Metadata").at("Revision").to_number<std::uint64_t>();
  if (body.at("Metadata").at("Revision").to_number<std::uint64_t>() !=
      storedRevision) {
    return MakeResponse(409, found->second);
  }
  found->second.as_object()["Status"] = body.at("Status");
  this->RecordChange(aKind, found->second.as_object(), false);
  return MakeResponse(200, found->second);
}

HttpResponse
ObjectStore::Get(const std::string& aKind, const std::string& aName)
{
  const ObjectsByName& objects = this->objectsByKind[aKind];
  const auto found = objects.find(aName);
  return found == objects.end() ? MakeResponse(404, json::object())
                                : MakeResponse(200, found->second);
}

HttpResponse
ObjectStore::Write(const std::string& aKind,
                   const std::string& aName,
                   const std::string& aBody)
{
  const json::value body = json::parse(aBody);
  const json::object& metadata = body.at("Metadata").as_object();
  const std::string name(metadata.at("Name").as_string());
  ObjectsByName& objects = this->objectsByKind[aKind];
  const auto found = objects.find(name);
  if (found == objects.end() && !aName.empty()) {
    return MakeResponse(404, json::object());
  }
  const bool isConflict =
    found != objects.end() &&
    (aName.empty() || (metadata.contains("Revision") &&
                       metadata.at("Revision").to_number<std::uint64_t>() !=
                         found->second.at("Metadata")
                           .at("Revision")
                           .to_number<std::uint64_t>()));
  if (isConflict) {
    return MakeResponse(409, found->second);
  }
  this->Put(aKind, name, body.at("Spec"));
  return MakeResponse(200, objects.at(name));
}

HttpResponse
ObjectStore::MakeResponse(unsigned aStatus, const json::value& aBody)
{
  HttpResponse response;
  response.result(aStatus);
  response.set(boost::beast::http::field::content_type, "application/json");
  response.body() = json::serialize(aBody);
  return response;
}

} // namespace fireflytrail::soak
