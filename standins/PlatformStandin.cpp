#include "standins/PlatformStandin.h"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <optional>
#include <set>
#include <string_view>
#include <utility>
#include <vector>

namespace fireflytrail::standins {

namespace http = boost::beast::http;
namespace json = boost::json;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kMaxWatchTime{ 120'000 };

std::optional<std::uint64_t>
ParseNumber(std::string_view aText)
{
  std::uint64_t number = 0;
  const char* end = aText.data() + aText.size();
  const auto [rest, error] = std::from_chars(aText.data(), end, number);
  if (aText.empty() || error != std::errc() || rest != end) {
    return std::nullopt;
  }
  return number;
}

std::optional<std::string_view>
QueryValue(std::string_view aQuery, std::string_view aName)
{
  while (!aQuery.empty()) {
    const std::string_view part = aQuery.substr(0, aQuery.find('&'));
    aQuery.remove_prefix(std::min(aQuery.size(), part.size() + 1));
    const auto equals = part.find('=');
    if (part.substr(0, equals) == aName && equals != part.npos) {
      return part.substr(equals + 1);
    }
  }
  return std::nullopt;
}

HttpResponse
ErrorResponse(unsigned aStatus, std::string_view aMessage)
{
  return JsonResponse(
    aStatus, json::serialize(json::object{ { "error", aMessage } }) + "\n");
}

bool
ValidateControl(const json::object& aControl, std::string& aReason)
{
  static const std::set<std::string_view> kFlags{ "down", "silent" };
  static const std::set<std::string_view> kNumbers{
    "delay_ms",   "lose_write_answers", "list_lag_ms",
    "read_limit", "write_limit",
  };
  static const std::set<std::string_view> kLists{
    "add_hosts", "remove_hosts", "leaving_hosts", "live_hosts"
  };
  for (const auto& [name, value] : aControl) {
    const std::string_view key = name;
    bool valid = false;
    if (kFlags.contains(key)) {
      valid = value.is_bool();
    } else if (kNumbers.contains(key)) {
      valid = value.is_int64();
    } else if (kLists.contains(key)) {
      valid =
        value.is_array() &&
        std::ranges::all_of(value.as_array(), [&](const json::value& aItem) {
          if (key != "add_hosts") {
            return aItem.is_string();
          }
          const json::object* entry = aItem.if_object();
          const json::value* id =
            entry == nullptr ? nullptr : entry->if_contains("id");
          return id != nullptr && id->is_string();
        });
    } else if (key == "delay_reads") {
      const json::object* spec = value.if_object();
      valid = spec != nullptr && spec->contains("count") &&
              spec->at("count").is_int64() && spec->contains("ms") &&
              spec->at("ms").is_int64();
    }
    if (!valid) {
      aReason = fmt::format("unknown key or bad value: {}", key);
      return false;
    }
  }
  return true;
}

} // namespace

bool
PlatformStandin::TokenBucket::TryConsume(Clock::time_point aNow)
{
  const double seconds =
    std::chrono::duration<double>(aNow - this->refilledAt).count();
  this->refilledAt = aNow;
  this->tokens = std::min(this->limit, this->tokens + seconds * this->limit);
  if (this->tokens < 1) {
    return false;
  }
  this->tokens -= 1;
  return true;
}

PlatformStandin::PlatformStandin(boost::asio::io_context& aContext,
                                 boost::asio::ip::tcp::endpoint aEndpoint,
                                 PlatformSettings aSettings)
  : context(aContext)
  , settings(aSettings)
  , readBucket{ aSettings.readLimit, aSettings.readLimit, Clock::now() }
  , writeBucket{ aSettings.writeLimit, aSettings.writeLimit, Clock::now() }
  , server(aContext,
           std::move(aEndpoint),
           [this](const std::shared_ptr<HttpExchange>& aExchange) {
             this->Handle(aExchange);
           })
{
  this->hostLists.push_back({ Clock::now(), 1, {} });
}

std::string
PlatformStandin::Address() const
{
  return this->server.Address();
}

std::string
PlatformStandin::Control(const json::object& aControl)
{
  std::string reason;
  if (!ValidateControl(aControl, reason)) {
    return reason;
  }
  for (const auto& [name, value] : aControl) {
    const std::string_view key = name;
    if (key == "down") {
      this->down = value.as_bool();
    } else if (key == "silent") {
      this->silent = value.as_bool();
    } else if (key == "delay_ms") {
      this->delay = milliseconds(value.as_int64());
    } else if (key == "delay_reads") {
      this->readsToDelay = value.at("count").as_int64();
      this->readDelay = milliseconds(value.at("ms").as_int64());
    } else if (key == "lose_write_answers") {
      this->writeAnswersToLose = value.as_int64();
    } else if (key == "list_lag_ms") {
      this->listLag = milliseconds(value.as_int64());
    } else if (key == "read_limit") {
      const auto limit = static_cast<double>(value.as_int64());
      this->readBucket = { limit, limit, Clock::now() };
    } else if (key == "write_limit") {
      const auto limit = static_cast<double>(value.as_int64());
      this->writeBucket = { limit, limit, Clock::now() };
    }
  }
  this->ApplyHostChanges(aControl);
  if (this->down) {
    for (auto& [number, watch] : std::exchange(this->watches, {})) {
      watch.timer->cancel();
      watch.exchange->Respond(ErrorResponse(503, "outage"));
    }
  }
  return {};
}

void
PlatformStandin::ApplyHostChanges(const json::object& aControl)
{
  json::object hosts = this->hostLists.back().hosts;
  const auto setState = [&](std::string_view aKey, std::string_view aState) {
    if (const json::value* ids = aControl.if_contains(aKey)) {
      for (const json::value& id : ids->as_array()) {
        if (json::value* entry = hosts.if_contains(id.as_string())) {
          entry->as_object()["state"] = aState;
        }
      }
    }
  };
  if (const json::value* added = aControl.if_contains("add_hosts")) {
    for (const json::value& entry : added->as_array()) {
      json::object host = entry.as_object();
      if (!host.contains("state")) {
        host["state"] = "live";
      }
      const json::string id = host.at("id").as_string();
      hosts[id] = std::move(host);
    }
  }
  if (const json::value* removed = aControl.if_contains("remove_hosts")) {
    for (const json::value& id : removed->as_array()) {
      hosts.erase(id.as_string());
    }
  }
  setState("leaving_hosts", "leaving");
  setState("live_hosts", "live");
  const HostList& last = this->hostLists.back();
  if (hosts != last.hosts) {
    this->hostLists.push_back(
      { Clock::now(), last.version + 1, std::move(hosts) });
  }
}

void
PlatformStandin::Handle(const std::shared_ptr<HttpExchange>& aExchange)
{
  const std::string_view target = aExchange->Request().target();
  if (target.starts_with("/control")) {
    this->HandleControl(aExchange);
    return;
  }
  if (this->silent) {
    return;
  }
  if (this->down) {
    this->RespondAfter(aExchange, ErrorResponse(503, "outage"), this->delay);
    return;
  }
  const bool isWrite = aExchange->Request().method() == http::verb::put;
  TokenBucket& bucket = isWrite ? this->writeBucket : this->readBucket;
  if (!bucket.TryConsume(Clock::now())) {
    ++this->rateLimitedCount;
    this->RespondAfter(
      aExchange, ErrorResponse(429, "rate limit"), this->delay);
    return;
  }
  if (target.starts_with("/objects/")) {
    this->HandleObject(aExchange);
  } else if (target == "/hosts" || target.starts_with("/hosts?")) {
    ++this->readCount;
    this->RespondAfter(
      aExchange, this->HostListResponse(target), this->NextReadDelay());
  } else {
    aExchange->Respond(ErrorResponse(404, "no such resource"));
  }
}

void
PlatformStandin::HandleControl(const std::shared_ptr<HttpExchange>& aExchange)
{
  const HttpRequest& request = aExchange->Request();
  if (request.target() == "/control/counts") {
    aExchange->Respond(JsonResponse(
      200,
      fmt::format(R"({{"reads":{},"writes":{},"watches":{},"limited":{}}})"
                  "\n",
                  this->readCount,
                  this->writeCount,
                  this->watchCount,
                  this->rateLimitedCount)));
    return;
  }
  boost::system::error_code error;
  const json::value control = json::parse(request.body(), error);
  if (error || !control.is_object()) {
    aExchange->Respond(ErrorResponse(400, "body is not a JSON object"));
    return;
  }
  const std::string reason = this->Control(control.get_object());
  aExchange->Respond(reason.empty() ? JsonResponse(200, "{}\n")
                                    : ErrorResponse(400, reason));
}

void
PlatformStandin::HandleObject(const std::shared_ptr<HttpExchange>& aExchange)
{
  const HttpRequest& request = aExchange->Request();
  std::string_view target = request.target();
  target.remove_prefix(std::string_view("/objects/").size());
  const auto queryStart = target.find('?');
  const std::string key(target.substr(0, queryStart));
  const std::string_view query = queryStart == target.npos
                                   ? std::string_view()
                                   : target.substr(queryStart + 1);
  if (request.method() == http::verb::put) {
    this->Write(aExchange, key);
    return;
  }
  if (request.method() != http::verb::get) {
    aExchange->Respond(ErrorResponse(405, "use GET or PUT"));
    return;
  }
  if (const auto watchValue = QueryValue(query, "watch")) {
    const auto version = ParseNumber(*watchValue);
    const auto timeout =
      ParseNumber(QueryValue(query, "timeout_ms").value_or("30000"));
    if (!version || !timeout) {
      aExchange->Respond(ErrorResponse(400, "bad watch or timeout_ms"));
      return;
    }
    ++this->watchCount;
    this->StartWatch(
      aExchange,
      key,
      *version,
      std::min(kMaxWatchTime,
               milliseconds(std::min<std::uint64_t>(*timeout, 120'000))));
    return;
  }
  ++this->readCount;
  this->RespondAfter(
    aExchange, this->ObjectResponse(key), this->NextReadDelay());
}

void
PlatformStandin::Write(const std::shared_ptr<HttpExchange>& aExchange,
                       const std::string& aKey)
{
  const HttpRequest& request = aExchange->Request();
  const auto expected = ParseNumber(request["If-Version"]);
  if (!expected) {
    aExchange->Respond(ErrorResponse(400, "If-Version is required"));
    return;
  }
  if (request.body().size() > this->settings.valueLimit) {
    aExchange->Respond(ErrorResponse(413, "value too large"));
    return;
  }
  ++this->writeCount;
  const auto found = this->objects.find(aKey);
  const std::uint64_t current =
    found == this->objects.end() ? 0 : found->second.version;
  if (*expected != current) {
    HttpResponse conflict = ErrorResponse(409, "version conflict");
    conflict.set("Object-Version", std::to_string(current));
    this->RespondAfter(aExchange, std::move(conflict), this->delay);
    return;
  }
  this->objects[aKey] = { request.body(), current + 1 };
  if (this->writeAnswersToLose != 0) {
    if (this->writeAnswersToLose > 0) {
      --this->writeAnswersToLose;
    }
    aExchange->Abort();
  } else {
    HttpResponse written = JsonResponse(200, "{}\n");
    written.set("Object-Version", std::to_string(current + 1));
    this->RespondAfter(aExchange, std::move(written), this->delay);
  }
  this->CompleteWatches(aKey);
}

void
PlatformStandin::StartWatch(const std::shared_ptr<HttpExchange>& aExchange,
                            const std::string& aKey,
                            std::uint64_t aVersion,
                            milliseconds aTimeout)
{
  const auto found = this->objects.find(aKey);
  if (found != this->objects.end() && found->second.version > aVersion) {
    this->RespondAfter(aExchange, this->ObjectResponse(aKey), this->delay);
    return;
  }
  const std::uint64_t number = this->nextWatchId++;
  auto timer =
    std::make_shared<boost::asio::steady_timer>(this->context, aTimeout);
  this->watches.emplace(number, Watch{ aKey, aVersion, aExchange, timer });
  aExchange->OnClosed([this, number]() { this->watches.erase(number); });
  timer->async_wait([this, number](boost::system::error_code aError) {
    // A cancelled timer may run this handler after the stand-in is destroyed.
    if (aError) {
      return;
    }
    const auto watch = this->watches.find(number);
    if (watch == this->watches.end()) {
      return;
    }
    HttpResponse unchanged;
    unchanged.result(http::status::not_modified);
    unchanged.set("Object-Version", std::to_string(watch->second.version));
    watch->second.exchange->Respond(std::move(unchanged));
    this->watches.erase(number);
  });
}

void
PlatformStandin::CompleteWatches(const std::string& aKey)
{
  const std::uint64_t version = this->objects.at(aKey).version;
  std::vector<Watch> answered;
  std::erase_if(this->watches, [&](const auto& aItem) {
    if (aItem.second.key != aKey || aItem.second.version >= version) {
      return false;
    }
    answered.push_back(aItem.second);
    return true;
  });
  for (const Watch& watch : answered) {
    watch.timer->cancel();
    this->RespondAfter(watch.exchange, this->ObjectResponse(aKey), this->delay);
  }
}

HttpResponse
PlatformStandin::ObjectResponse(const std::string& aKey) const
{
  const auto found = this->objects.find(aKey);
  if (found == this->objects.end()) {
    return ErrorResponse(404, "no such object");
  }
  HttpResponse response = JsonResponse(200, found->second.body);
  response.set("Object-Version", std::to_string(found->second.version));
  return response;
}

HttpResponse
PlatformStandin::HostListResponse(std::string_view aTarget) const
{
  const auto servedTime = Clock::now() - this->listLag;
  const HostList* list = &this->hostLists.front();
  for (const HostList& candidate : this->hostLists) {
    if (candidate.publishedAt <= servedTime) {
      list = &candidate;
    }
  }
  const std::size_t queryStart = aTarget.find('?');
  if (queryStart != std::string_view::npos) {
    const auto known = QueryValue(aTarget.substr(queryStart + 1), "known");
    if (known && ParseNumber(*known) == list->version) {
      return JsonResponse(304, "");
    }
  }
  json::array hosts;
  for (const auto& [id, entry] : list->hosts) {
    hosts.push_back(entry);
  }
  const json::object body{ { "version", list->version },
                           { "hosts", std::move(hosts) } };
  return JsonResponse(200, json::serialize(body) + "\n");
}

void
PlatformStandin::RespondAfter(const std::shared_ptr<HttpExchange>& aExchange,
                              HttpResponse aResponse,
                              milliseconds aDelay)
{
  if (aDelay.count() <= 0) {
    aExchange->Respond(std::move(aResponse));
    return;
  }
  auto timer =
    std::make_shared<boost::asio::steady_timer>(this->context, aDelay);
  timer->async_wait([timer, aExchange, response = std::move(aResponse)](
                      boost::system::error_code) mutable {
    aExchange->Respond(std::move(response));
  });
}

milliseconds
PlatformStandin::NextReadDelay()
{
  if (this->readsToDelay > 0) {
    --this->readsToDelay;
    return this->delay + this->readDelay;
  }
  return this->delay;
}

} // namespace fireflytrail::standins
