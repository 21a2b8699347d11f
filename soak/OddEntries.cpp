#include "soak/OddEntries.h"

#include "soak/ObjectStore.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <algorithm>
#include <array>

namespace fireflytrail::soak {

namespace json = boost::json;

namespace {

constexpr std::size_t kFirstEntries = 8;
constexpr std::size_t kMaxEntries = 24;
constexpr std::size_t kMinPageSize = 2;
constexpr std::size_t kMaxPageSize = 4;

} // namespace

OddEntries::OddEntries(ObjectStore& aStore, std::uint64_t aSeed)
  : store(aStore)
  , random(aSeed)
{
}

void
OddEntries::Begin()
{
  using enum ObjectStore::UnknownCursor;
  constexpr std::array kRules = { Accepted, Refused, Ignored };
  this->store.SetUnknownCursor(kRules[this->RandomBelow(kRules.size())]);
  this->pageSize =
    kMinPageSize + this->RandomBelow(kMaxPageSize - kMinPageSize + 1);
  this->store.SetPageSize(this->pageSize);
  for (std::size_t count = 0; count < kFirstEntries; ++count) {
    this->WriteOne({});
  }
}

void
OddEntries::Step(const std::vector<std::string>& aServers)
{
  const bool isFull = this->entries.size() >= kMaxEntries;
  if (!this->entries.empty() && (isFull || this->RandomBelow(2) == 0)) {
    const auto entry =
      this->entries.begin() +
      static_cast<std::ptrdiff_t>(this->RandomBelow(this->entries.size()));
    this->store.Remove(entry->kind, entry->name);
    this->uselessByKind[entry->kind] -= entry->isUseless ? 1 : 0;
    this->entries.erase(entry);
    return;
  }
  this->WriteOne(aServers);
}

void
OddEntries::WriteOne(const std::vector<std::string>& aServers)
{
  constexpr std::array kKinds = { "servers", "servers",  "servers",
                                  "config",  "rollouts", "evacuations" };
  const std::array<std::string, 14> suffixes = { "&",
                                                 "+",
                                                 "#",
                                                 "%",
                                                 " ",
                                                 "%41",
                                                 "/",
                                                 "?after=",
                                                 "\"",
                                                 "\\",
                                                 "\xc3\xa9",
                                                 "\r\nX: 1",
                                                 std::string(1, '\0'),
                                                 std::string(5000, 'x') };
  const std::string kind = kKinds[this->RandomBelow(kKinds.size())];
  std::string name = aServers.empty()
                       ? std::string("0")
                       : aServers[this->RandomBelow(aServers.size())];
  name += suffixes[this->RandomBelow(suffixes.size())];
  const bool isKnown =
    std::ranges::any_of(this->entries, [&](const Entry& aEntry) {
      return aEntry.kind == kind && aEntry.name == name;
    });
  if (isKnown) {
    return;
  }
  // No client can read past a page without a name that fits a request.
  constexpr std::size_t kMaxRequestName = 1000;
  const bool hasRoom = this->uselessByKind[kind] + 1 < this->pageSize;
  const bool isLong = name.size() > kMaxRequestName;
  if (isLong && !hasRoom) {
    return;
  }
  const bool isNameless = hasRoom && this->RandomBelow(2) == 0;
  if (!isNameless) {
    this->store.Put(kind, name, json::object{ { "note", "odd" } });
  } else if (this->RandomBelow(2) == 0) {
    this->store.PutForeign(kind, name, json::object{ { "note", 1 } });
  } else {
    this->store.PutForeign(kind, name, json::array{ "odd" });
  }
  const bool isUseless = isNameless || isLong;
  this->uselessByKind[kind] += isUseless ? 1 : 0;
  this->entries.push_back({ kind, name, isUseless });
}

} // namespace fireflytrail::soak
