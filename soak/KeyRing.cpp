#include "soak/KeyRing.h"

#include <boost/json/object.hpp>
#include <fmt/format.h>

#include <array>

namespace fireflytrail::soak {

namespace json = boost::json;

namespace {

constexpr std::array kOrganisations = { "org-a", "org-b", "org-c" };
// One request in this number has a key that is withdrawn, one that never
// existed, or none.
constexpr unsigned kOddShare = 12;

} // namespace

KeyRing::KeyRing(std::uint64_t aSeed)
  : random(aSeed)
{
  for (const char* organisation : kOrganisations) {
    this->Add(organisation, true);
  }
}

void
KeyRing::Add(const std::string& aOrganisation, bool aIsPermanent)
{
  this->keys.push_back(
    { .key = fmt::format("{}{:016x}", kKeyPrefix, this->random()),
      .organisation = aOrganisation,
      .addedAt = std::chrono::steady_clock::now(),
      .withdrawnAt = std::nullopt,
      .isPermanent = aIsPermanent });
}

void
KeyRing::Rotate()
{
  // At most two keys that can be withdrawn are in force.
  std::vector<Identity*> inForce;
  for (Identity& identity : this->keys) {
    if (!identity.isPermanent && !identity.withdrawnAt) {
      inForce.push_back(&identity);
    }
  }
  if (inForce.size() > 1) {
    inForce[this->random() % inForce.size()]->withdrawnAt =
      std::chrono::steady_clock::now();
  }
  this->Add(kOrganisations[this->random() % kOrganisations.size()], false);
}

json::array
KeyRing::Entries() const
{
  json::array entries;
  for (std::size_t index = 0; index < kOrganisations.size(); ++index) {
    json::array values;
    for (const Identity& identity : this->keys) {
      if (identity.organisation == kOrganisations[index] &&
          !identity.withdrawnAt) {
        values.emplace_back(identity.key);
      }
    }
    entries.push_back(json::object{
      { "EntryType", "Tenants" },
      { "Metadata", json::object{ { "Name", kOrganisations[index] } } },
      { "Spec",
        json::object{ { "ApiKeys", std::move(values) },
                      { "Priority", index } } } });
  }
  return entries;
}

const std::string&
KeyRing::PermanentKey() const
{
  return this->keys.front().key;
}

const KeyRing::Identity&
KeyRing::Assign(const std::string& aRequestId)
{
  switch (this->random() % kOddShare) {
    case 0:
      return this->withoutKeyInForce[aRequestId] = {};
    case 1: {
      Identity& unknown = this->withoutKeyInForce[aRequestId];
      unknown.key = fmt::format("{}none-{:x}", kKeyPrefix, this->random());
      return unknown;
    }
    default:
      break;
  }
  // Half of the requests have one of the newest keys, some of which have just
  // been withdrawn.
  constexpr std::size_t kNewest = 4;
  const std::size_t count = this->keys.size();
  const std::size_t index =
    this->random() % 2 == 0 || count <= kNewest + kOrganisations.size()
      ? this->random() % kOrganisations.size()
      : count - 1 - this->random() % kNewest;
  this->assigned[aRequestId] = index;
  return this->keys[index];
}

std::optional<KeyRing::Identity>
KeyRing::IdentityOf(const std::string& aRequestId) const
{
  if (const auto found = this->assigned.find(aRequestId);
      found != this->assigned.end()) {
    return this->keys[found->second];
  }
  const auto found = this->withoutKeyInForce.find(aRequestId);
  return found == this->withoutKeyInForce.end() ? std::nullopt
                                                : std::optional(found->second);
}

} // namespace fireflytrail::soak
