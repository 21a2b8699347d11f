#include "usage/UsageCounters.h"

#include <algorithm>

namespace fireflytrail::usage {

Figures*
UsageCounters::FindWindow(WindowNumber aWindow)
{
  if (aWindow <= this->forgottenThrough) {
    return nullptr;
  }
  Figures& figures = this->windows[aWindow];
  if (this->windows.size() > kMaxWindows) {
    const WindowNumber oldest = this->windows.begin()->first;
    this->Forget(oldest);
    if (oldest == aWindow) {
      return nullptr;
    }
  }
  return &figures;
}

std::uint64_t*
UsageCounters::Find(WindowNumber aWindow, std::string_view aOrganisation)
{
  Figures* figures = this->FindWindow(aWindow);
  if (figures == nullptr) {
    return nullptr;
  }
  auto found = figures->find(aOrganisation);
  if (found == figures->end()) {
    if (figures->size() >= kMaxOrganisations) {
      return nullptr;
    }
    found = figures->emplace(aOrganisation, 0).first;
  }
  return &found->second;
}

bool
UsageCounters::Add(WindowNumber aWindow, std::string_view aOrganisation)
{
  std::uint64_t* count = this->Find(aWindow, aOrganisation);
  if (count == nullptr) {
    return false;
  }
  ++*count;
  return true;
}

bool
UsageCounters::Raise(WindowNumber aWindow,
                     std::string_view aOrganisation,
                     std::uint64_t aCount)
{
  std::uint64_t* count = this->Find(aWindow, aOrganisation);
  if (count == nullptr) {
    return false;
  }
  *count = std::max(*count, aCount);
  return true;
}

void
UsageCounters::MarkComplete(WindowNumber aWindow)
{
  if (this->FindWindow(aWindow) != nullptr) {
    this->complete.insert(aWindow);
  }
}

void
UsageCounters::Forget(WindowNumber aWindow)
{
  this->forgottenThrough = std::max(this->forgottenThrough, aWindow);
  this->windows.erase(this->windows.begin(),
                      this->windows.upper_bound(aWindow));
  this->complete.erase(this->complete.begin(),
                       this->complete.upper_bound(aWindow));
}

} // namespace fireflytrail::usage
