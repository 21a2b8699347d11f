#include "routing/OrganisationShares.h"

#include <algorithm>
#include <cmath>

namespace fireflytrail::routing {

using std::chrono::nanoseconds;

namespace {

// Time constant with which granted work is forgotten. It is long enough that a
// burst is recognized after it was granted free slots, and short enough that an
// organisation is not charged for load that is over.
constexpr std::chrono::milliseconds kGrantedDecayTime{ 1000 };

} // namespace

nanoseconds
OrganisationShares::Cell::GrantedAt(core::TimePoint aNow) const
{
  const std::chrono::duration<double> age = aNow - this->grantedAt;
  return nanoseconds(static_cast<nanoseconds::rep>(
    static_cast<double>(this->granted.count()) *
    std::exp(-age / std::chrono::duration<double>(kGrantedDecayTime))));
}

void
OrganisationShares::AddWaiting(std::uint64_t aOrganisation, nanoseconds aWork)
{
  Cell& cell = this->CellOf(aOrganisation);
  cell.waiting = std::max(cell.waiting + aWork, nanoseconds(0));
}

void
OrganisationShares::AddGranted(std::uint64_t aOrganisation,
                               nanoseconds aWork,
                               core::TimePoint aNow)
{
  Cell& cell = this->CellOf(aOrganisation);
  cell.granted = cell.GrantedAt(aNow) + aWork;
  cell.grantedAt = aNow;
}

nanoseconds
OrganisationShares::UsageOf(std::uint64_t aOrganisation,
                            core::TimePoint aNow) const
{
  if (aOrganisation == 0) {
    return nanoseconds(0);
  }
  const Cell& cell = this->cells[aOrganisation % kCells];
  return cell.waiting + cell.GrantedAt(aNow);
}

} // namespace fireflytrail::routing
