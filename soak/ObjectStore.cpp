#include "soak/ObjectStore.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
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

// A silent store holds a call for longer than any daemon waits.
constexpr auto kSilence = 30s;
// Time between two looks of a waiting watch for changes.
constexpr auto kLookInterval = 5ms;

/** Returns the value of a query parameter, 0 if there is none. */
std::uint64_t
NumberOf(std::string_view aQuery, std::string_view aName)
{
  while (!aQuery.empty()) {
    const std::string_view part = aQuery.substr(0, aQuery.find('&'));
    if (part.starts_with(aName) && part.substr(aName.size()).starts_with('=')) {
      return std::stoull(std::string(part.substr(aName.size() + 1)));
    }
    aQuery.remove_prefix(std::min(part.size() + 1, aQuery.size()));
  }
  return 0;
}

/** Returns the parts of a path between its slashes. */
std::vector<std::string>
PartsOf(std::string_view aPath)
{
  std::vector<std::string> parts;
  while (!aPath.empty()) {
    aPath.remove_prefix(1);
    const std::string_view part = aPath.substr(0, aPath.find('/'));
    parts.emplace_back(part);
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
  this->service->Open({ asio::ip::make_address("127.0.0.1"), 0 });
  return this->service->Endpoint();
}

void
ObjectStore::Put(const std::string& aKind,
                 const std::string& aName,
                 json::value aSpec)
{
  json::object& object = this->kinds[aKind][aName];
  if (object.empty()) {
    object["Metadata"] = json::object{ { "Name", aName },
                                       { "CreatedRev", this->revision + 1 },
                                       { "Finalizers", json::array() },
                                       { "Deleting", false } };
    object["Status"] = nullptr;
  }
  object["Spec"] = std::move(aSpec);
  this->Note(aKind, object, false);
}

void
ObjectStore::Remove(const std::string& aKind, const std::string& aName)
{
  Objects& objects = this->kinds[aKind];
  const auto found = objects.find(aName);
  if (found == objects.end()) {
    return;
  }
  json::object object = std::move(found->second);
  objects.erase(found);
  this->Note(aKind, object, true);
}

std::string
ObjectStore::StateOf(const std::string& aKind, const std::string& aName) const
{
  const auto kind = this->kinds.find(aKind);
  const auto object = kind == this->kinds.end() ? Objects::const_iterator()
                                                : kind->second.find(aName);
  if (kind == this->kinds.end() || object == kind->second.end()) {
    return {};
  }
  const json::object* status = object->second.at("Status").if_object();
  return status == nullptr ? std::string()
                           : std::string(status->at("State").as_string());
}

void
ObjectStore::Note(const std::string& aKind,
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
    asio::steady_timer silence(this->context, kSilence);
    co_await silence.async_wait(asio::use_awaitable);
    co_return std::nullopt;
  }
  if (this->mode == Mode::Refusing) {
    co_return Answer(503, json::object());
  }
  const bool isLost = this->mode == Mode::LosingAnswers;
  const std::string_view target(aRequest.target().data(),
                                aRequest.target().size());
  const std::size_t end = std::min(target.find('?'), target.size());
  const std::vector<std::string> path = PartsOf(target.substr(0, end));
  const std::string query(target.substr(std::min(end + 1, target.size())));
  std::optional<HttpResponse> response;
  if (path.size() == 2 && query.starts_with("Watch=")) {
    response = co_await this->Watch(path[1],
                                    NumberOf(query, "Watch"),
                                    milliseconds(NumberOf(query, "WaitMs")));
  } else if (path.size() == 2) {
    response = this->List(path[1]);
  } else if (path.size() == 4 &&
             aRequest.method() == boost::beast::http::verb::put) {
    response = this->PutStatus(path[1], path[2], aRequest.body());
  } else {
    response = Answer(404, json::object());
  }
  co_return isLost ? std::nullopt : response;
}

asio::awaitable<HttpResponse>
ObjectStore::Watch(std::string aKind,
                   std::uint64_t aRevision,
                   milliseconds aWait)
{
  const auto end = std::chrono::steady_clock::now() + aWait;
  for (;;) {
    if (aRevision < this->oldest) {
      co_return Answer(410, json::object{ { "AsOf", this->revision } });
    }
    json::array events;
    for (const Change& change : this->changes) {
      if (change.revision > aRevision && change.kind == aKind) {
        events.push_back(change.event);
      }
    }
    if (!events.empty() || std::chrono::steady_clock::now() >= end) {
      co_return Answer(200,
                       json::object{ { "events", std::move(events) },
                                     { "AsOf", this->revision } });
    }
    asio::steady_timer timer(this->context, kLookInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

HttpResponse
ObjectStore::List(const std::string& aKind)
{
  json::array items;
  for (const auto& [name, object] : this->kinds[aKind]) {
    items.push_back(object);
  }
  return Answer(200,
                json::object{ { "items", std::move(items) },
                              { "More", false },
                              { "AsOf", this->revision } });
}

HttpResponse
ObjectStore::PutStatus(const std::string& aKind,
                       const std::string& aName,
                       const std::string& aBody)
{
  Objects& objects = this->kinds[aKind];
  const auto found = objects.find(aName);
  if (found == objects.end()) {
    return Answer(404, json::object());
  }
  const json::value body = json::parse(aBody);
  const auto held =
    found->second.at("Metadata").at("Revision").to_number<std::uint64_t>();
  if (body.at("Metadata").at("Revision").to_number<std::uint64_t>() != held) {
    return Answer(409, found->second);
  }
  found->second["Status"] = body.at("Status");
  this->Note(aKind, found->second, false);
  return Answer(200, found->second);
}

HttpResponse
ObjectStore::Answer(unsigned aStatus, const json::value& aBody)
{
  HttpResponse response;
  response.result(aStatus);
  response.set(boost::beast::http::field::content_type, "application/json");
  response.body() = json::serialize(aBody);
  return response;
}

} // namespace fireflytrail::soak
