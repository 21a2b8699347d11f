#include "moves/RouteEvidence.h"

namespace fireflytrail::moves {

RouteEvidence&
RouteEvidence::operator+=(const RouteEvidence& aOther)
{
  for (const auto& [name, domain] : aOther.domains) {
    Domain& own = this->domains[name];
    own.oldVersion += domain.oldVersion;
    own.newVersion += domain.newVersion;
  }
  for (std::size_t group = 0; group < kGroups; ++group) {
    this->oldGroups[group] += aOther.oldGroups[group];
  }
  this->newFailureGroups |= aOther.newFailureGroups;
  this->newCallsSoFar += aOther.newCallsSoFar;
  return *this;
}

RouteEvidence&
RouteEvidence::operator-=(const RouteEvidence& aOther)
{
  for (const auto& [name, domain] : aOther.domains) {
    Domain& own = this->domains[name];
    own.oldVersion -= domain.oldVersion;
    own.newVersion -= domain.newVersion;
  }
  for (std::size_t group = 0; group < kGroups; ++group) {
    this->oldGroups[group] -= aOther.oldGroups[group];
  }
  this->newCallsSoFar -= aOther.newCallsSoFar;
  return *this;
}

} // namespace fireflytrail::moves
