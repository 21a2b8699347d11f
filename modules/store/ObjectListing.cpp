#include "store/ObjectListing.h"

#include "store/ObjectDialect.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace fireflytrail::store {

namespace {

// Earlier names tried in succession. Objects that are removed while the list is
// read, or whose names the store does not accept, seldom follow one another.
constexpr std::size_t kMaxStepsBack = 8;

// Servers usually read request lines of up to 8 KB. A byte of a name takes up
// to three in the target.
constexpr std::size_t kMaxCursorBytes = 2048;

} // namespace

ObjectListing::Progress
ObjectListing::Add(ObjectPage aPage)
{
  this->revision = this->revision == 0
                     ? aPage.revision
                     : std::min(this->revision, aPage.revision);
  bool hasNew = false;
  for (ObjectRecord& object : aPage.objects) {
    const auto known = this->objects.find(object.name);
    if (known == this->objects.end()) {
      hasNew = hasNew || !object.name.empty();
      if (!object.name.empty() && object.name.size() <= kMaxCursorBytes) {
        this->cursors.push_back(object.name);
      }
      this->objects.emplace(object.name, std::move(object));
    } else if (object.revision > known->second.revision) {
      known->second = std::move(object);
    }
  }
  if (!aPage.hasMore) {
    return Progress::Complete;
  }
  if (hasNew) {
    this->stepsBack = 0;
    return Progress::Continues;
  }
  return this->StepBack();
}

ObjectListing::Progress
ObjectListing::OnPageRefused()
{
  assert(!this->Cursor().empty());
  return this->StepBack();
}

const std::string&
ObjectListing::Cursor() const
{
  static const std::string kFirstPage;
  return this->cursors.empty() ? kFirstPage : this->cursors.back();
}

std::vector<ObjectRecord>
ObjectListing::TakeObjects()
{
  std::vector<ObjectRecord> taken;
  taken.reserve(this->objects.size());
  for (auto& [name, object] : this->objects) {
    taken.push_back(std::move(object));
  }
  this->objects.clear();
  return taken;
}

ObjectListing::Progress
ObjectListing::StepBack()
{
  if (this->stepsBack == 0) {
    this->stuckAfter = this->Cursor();
  }
  if (this->cursors.empty() || this->stepsBack == kMaxStepsBack) {
    return Progress::Incomplete;
  }
  this->cursors.pop_back();
  ++this->stepsBack;
  return Progress::Continues;
}

} // namespace fireflytrail::store
