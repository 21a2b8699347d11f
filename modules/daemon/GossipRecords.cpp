#include "daemon/GossipRecords.h"

#include "core/Hash.h"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <fmt/format.h>

#include <cassert>
#include <utility>

namespace fireflytrail::daemon {

namespace json = boost::json;
using calls::CrashEntry;
using routing::HealthObservation;
using routing::HealthObservationKind;

namespace {

constexpr std::string_view kHealthPrefix = "health.";
constexpr std::string_view kCrashKey = "crashes";

/** Parses a JSON array and calls a function with each inner array of at least
 * `aLength` values. Malformed JSON counts as an empty array. */
template<typename Function>
void
ForEachRow(std::string_view aValue, std::size_t aLength, Function aFunction)
{
  boost::system::error_code error;
  const json::value root = json::parse(aValue, error);
  const json::array* rows = error ? nullptr : root.if_array();
  if (rows == nullptr) {
    return;
  }
  for (const json::value& row : *rows) {
    const json::array* values = row.if_array();
    if (values != nullptr && values->size() >= aLength) {
      aFunction(*values);
    }
  }
}

template<typename Number>
std::optional<Number>
NumberOf(const json::value& aValue)
{
  boost::system::error_code error;
  const auto number = aValue.to_number<Number>(error);
  return error ? std::nullopt : std::optional(number);
}

} // namespace

GossipRecords::GossipRecords(core::NowFunction aNow, PublishFunction aPublish)
  : now(std::move(aNow))
  , publish(std::move(aPublish))
{
  assert(this->now && this->publish);
}

void
GossipRecords::Publish(const HealthObservation& aObservation)
{
  const std::size_t index =
    core::HashOf(aObservation.serverId) % kHealthRecordCount;
  auto& group = this->recent[index];
  const core::TimePoint time = this->now();
  group.insert_or_assign(aObservation.serverId,
                         TimedObservation{ aObservation, time });
  std::erase_if(group, [&](const auto& aItem) {
    return time - aItem.second.at > kRepeatTime;
  });
  this->isChanged[index] = true;
}

void
GossipRecords::Flush()
{
  const core::TimePoint time = this->now();
  for (std::size_t index = 0; index < kHealthRecordCount; ++index) {
    if (!this->isChanged[index] ||
        time - this->publishedAt[index] < kPublishInterval) {
      continue;
    }
    this->isChanged[index] = false;
    this->publishedAt[index] = time;
    json::array rows;
    for (const auto& [server, item] : this->recent[index]) {
      rows.push_back(json::array{ server,
                                  static_cast<int>(item.observation.kind),
                                  item.observation.concurrency,
                                  item.observation.sequence });
    }
    this->publish(fmt::format("{}{}", kHealthPrefix, index),
                  json::serialize(rows));
  }
}

void
GossipRecords::Publish(const CrashEntry& aEntry)
{
  const core::TimePoint time = this->now();
  this->crashes.push_back({ aEntry, time });
  if (this->crashes.size() > kMaxCrashEntries) {
    this->crashes.pop_front();
  }
  json::array rows;
  for (const TimedCrash& item : this->crashes) {
    const auto age =
      item.entry.age +
      std::chrono::duration_cast<std::chrono::milliseconds>(time - item.at);
    rows.push_back(json::array{ item.entry.digest,
                                item.entry.death,
                                item.entry.cleared ? 1 : 0,
                                age.count() });
  }
  this->publish(kCrashKey, json::serialize(rows));
}

std::vector<HealthObservation>
GossipRecords::ParseHealth(std::string_view aKey, std::string_view aValue)
{
  std::vector<HealthObservation> observations;
  if (!aKey.starts_with(kHealthPrefix)) {
    return observations;
  }
  ForEachRow(aValue, 4, [&](const json::array& aRow) {
    const auto kind = NumberOf<std::uint8_t>(aRow[1]);
    const auto concurrency = NumberOf<std::uint32_t>(aRow[2]);
    const auto sequence = NumberOf<std::uint64_t>(aRow[3]);
    if (aRow[0].is_string() && kind && concurrency && sequence &&
        *kind <=
          static_cast<std::uint8_t>(HealthObservationKind::Concurrency)) {
      observations.push_back({ std::string(aRow[0].get_string()),
                               static_cast<HealthObservationKind>(*kind),
                               *concurrency,
                               *sequence });
    }
  });
  return observations;
}

std::vector<CrashEntry>
GossipRecords::ParseCrashes(std::string_view aKey, std::string_view aValue)
{
  std::vector<CrashEntry> entries;
  if (aKey != kCrashKey) {
    return entries;
  }
  ForEachRow(aValue, 4, [&](const json::array& aRow) {
    const auto digest = NumberOf<std::uint64_t>(aRow[0]);
    const auto death = NumberOf<std::uint64_t>(aRow[1]);
    const auto cleared = NumberOf<std::uint8_t>(aRow[2]);
    const auto age = NumberOf<std::uint32_t>(aRow[3]);
    if (digest && death && cleared && age) {
      entries.push_back(
        { *digest, *death, *cleared != 0, std::chrono::milliseconds(*age) });
    }
  });
  return entries;
}

std::string
GossipRecords::FormatIdle(const std::vector<std::string>& aServices)
{
  json::array names;
  for (const std::string& service : aServices) {
    names.emplace_back(service);
  }
  return json::serialize(names);
}

std::vector<std::string>
GossipRecords::ParseIdle(std::string_view aValue)
{
  std::vector<std::string> services;
  boost::system::error_code error;
  const json::value root = json::parse(aValue, error);
  const json::array* names = error ? nullptr : root.if_array();
  if (names == nullptr) {
    return services;
  }
  for (const json::value& name : *names) {
    if (name.is_string()) {
      services.emplace_back(name.get_string());
    }
  }
  return services;
}

} // namespace fireflytrail::daemon
