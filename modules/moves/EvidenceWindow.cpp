#include "moves/EvidenceWindow.h"

#include <flatbuffers/flexbuffers.h>

#include <cassert>
#include <set>
#include <vector>

namespace fireflytrail::moves {

namespace {

constexpr std::size_t kCountersPerVersion = 5;
constexpr std::size_t kCountersPerDomain = 2 * kCountersPerVersion;
constexpr std::size_t kCountersPerGroup = 3;
/** Name, number of calls so far and counters. */
constexpr std::size_t kItemsPerRoute = 3;
/** Window, sequence number and the names of the failure domains. */
constexpr std::size_t kHeaderItems = 3;
/** The groups' counters and the set of groups with failures. */
constexpr std::size_t kFixedCounters =
  RouteEvidence::kGroups * kCountersPerGroup + 1;

void
Append(std::vector<std::uint64_t>& aNumbers, const CallCounters& aCounters)
{
  aNumbers.insert(aNumbers.end(),
                  { aCounters.calls,
                    aCounters.failures,
                    aCounters.timed,
                    aCounters.slow,
                    aCounters.verySlow });
}

CallCounters
CountersAt(const flexbuffers::TypedVector& aNumbers, std::size_t aIndex)
{
  return { aNumbers[aIndex].AsUInt64(),
           aNumbers[aIndex + 1].AsUInt64(),
           aNumbers[aIndex + 2].AsUInt64(),
           aNumbers[aIndex + 3].AsUInt64(),
           aNumbers[aIndex + 4].AsUInt64() };
}

core::Error
Invalid(std::string aDetail)
{
  return { core::ErrorKind::BadRequest, "evidence: " + std::move(aDetail) };
}

} // namespace

EvidenceWindow&
EvidenceWindow::operator+=(const EvidenceWindow& aOther)
{
  assert(this->window == aOther.window);
  this->sequence += aOther.sequence;
  for (const auto& [name, route] : aOther.routes) {
    this->routes[name] += route;
  }
  return *this;
}

EvidenceWindow&
EvidenceWindow::operator-=(const EvidenceWindow& aOther)
{
  assert(this->window == aOther.window);
  this->sequence -= aOther.sequence;
  for (const auto& [name, route] : aOther.routes) {
    this->routes[name] -= route;
  }
  return *this;
}

std::string
EvidenceWindow::Serialize() const
{
  std::set<std::string> domains;
  for (const auto& [name, route] : this->routes) {
    for (const auto& [domain, counters] : route.domains) {
      domains.insert(domain);
    }
  }
  flexbuffers::Builder builder;
  builder.Vector([&] {
    builder.UInt(this->window);
    builder.UInt(this->sequence);
    builder.Vector([&] {
      for (const std::string& domain : domains) {
        builder.String(domain);
      }
    });
    for (const auto& [name, route] : this->routes) {
      builder.String(name);
      builder.UInt(route.newCallsSoFar);
      std::vector<std::uint64_t> numbers;
      for (const std::string& domain : domains) {
        const auto found = route.domains.find(domain);
        const RouteEvidence::Domain counters = found == route.domains.end()
                                                 ? RouteEvidence::Domain{}
                                                 : found->second;
        Append(numbers, counters.oldVersion);
        Append(numbers, counters.newVersion);
      }
      for (const CallCounters& group : route.oldGroups) {
        numbers.insert(numbers.end(),
                       { group.timed, group.slow, group.verySlow });
      }
      numbers.push_back(route.newFailureGroups);
      // One vector for each route, because FlexBuffers picks the smallest
      // integer width that fits all numbers of a vector.
      builder.TypedVector([&] {
        for (const std::uint64_t number : numbers) {
          builder.UInt(number);
        }
      });
    }
  });
  builder.Finish();
  const auto& bytes = builder.GetBuffer();
  return { bytes.begin(), bytes.end() };
}

core::Result<EvidenceWindow>
EvidenceWindow::Parse(std::string_view aBytes)
{
  const auto* data = reinterpret_cast<const std::uint8_t*>(aBytes.data());
  if (aBytes.size() < 3 ||
      !flexbuffers::VerifyBuffer(data, aBytes.size(), nullptr)) {
    return Invalid("malformed FlexBuffers buffer");
  }
  const auto root = flexbuffers::GetRoot(data, aBytes.size());
  if (!root.IsUntypedVector()) {
    return Invalid("the root is not an untyped vector");
  }
  const auto list = root.AsVector();
  if (list.size() < kHeaderItems ||
      (list.size() - kHeaderItems) % kItemsPerRoute != 0 ||
      list.size() > kHeaderItems + kItemsPerRoute * kMaxRoutes ||
      !list[0].IsUInt() || list[0].AsUInt64() >= kWindows ||
      !list[1].IsUInt() || !list[2].IsUntypedVector()) {
    return Invalid(
      "invalid window, sequence number, failure domains or number of items");
  }
  EvidenceWindow window;
  window.window = list[0].AsUInt64();
  window.sequence = list[1].AsUInt64();
  const auto names = list[2].AsVector();
  if (names.size() > kMaxDomains) {
    return Invalid("too many failure domains");
  }
  for (std::size_t index = kHeaderItems; index < list.size();
       index += kItemsPerRoute) {
    if (!list[index].IsString() || !list[index + 1].IsUInt() ||
        !list[index + 2].IsTypedVector()) {
      return Invalid("a route needs a name, a number of calls and counters");
    }
    const auto numbers = list[index + 2].AsTypedVector();
    if (numbers.size() != names.size() * kCountersPerDomain + kFixedCounters) {
      return Invalid("wrong number of counters");
    }
    RouteEvidence& route = window.routes[list[index].AsString().str()];
    route.newCallsSoFar = list[index + 1].AsUInt64();
    std::size_t position = 0;
    for (std::size_t name = 0; name < names.size(); ++name) {
      if (!names[name].IsString()) {
        return Invalid("the name of a failure domain is not a string");
      }
      RouteEvidence::Domain& domain =
        route.domains[names[name].AsString().str()];
      domain.oldVersion = CountersAt(numbers, position);
      domain.newVersion = CountersAt(numbers, position + kCountersPerVersion);
      position += kCountersPerDomain;
    }
    for (CallCounters& group : route.oldGroups) {
      group.timed = numbers[position].AsUInt64();
      group.slow = numbers[position + 1].AsUInt64();
      group.verySlow = numbers[position + 2].AsUInt64();
      position += kCountersPerGroup;
    }
    route.newFailureGroups = numbers[position].AsUInt64();
  }
  return window;
}

} // namespace fireflytrail::moves
