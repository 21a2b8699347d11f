#include "wire/EntryConversion.h"

#include <algorithm>
#include <limits>
#include <map>
#include <string_view>
#include <utility>
#include <vector>

namespace fireflytrail::wire {

namespace {

/** The names in a message, each of which is written once. */
class NameTable
{
public:
  std::uint16_t IndexOf(std::string_view aName)
  {
    const auto [entry, isNew] = this->indexes.try_emplace(
      aName, static_cast<std::uint16_t>(this->names.size()));
    if (isNew) {
      this->names.emplace_back(aName);
    }
    return entry->second;
  }

  /** Whether further names have an index. */
  bool HasRoomFor(std::string_view aName) const
  {
    return this->names.size() < std::numeric_limits<std::uint16_t>::max() ||
           this->indexes.contains(aName);
  }

  const std::vector<std::string>& Names() const { return this->names; }

private:
  std::map<std::string_view, std::uint16_t> indexes;
  std::vector<std::string> names;
};

Offset<fbs::UsageWindow>
WriteWindow(FlatBufferBuilder& aBuilder,
            const UsageWindow& aWindow,
            NameTable& aNames)
{
  std::vector<std::uint16_t> organisations;
  std::vector<std::uint32_t> counts;
  for (const auto& [name, count] : aWindow.counts) {
    if (!aNames.HasRoomFor(name)) {
      continue;
    }
    organisations.push_back(aNames.IndexOf(name));
    counts.push_back(static_cast<std::uint32_t>(std::min<std::uint64_t>(
      count, std::numeric_limits<std::uint32_t>::max())));
  }
  const auto writtenOrganisations = aBuilder.CreateVector(organisations);
  const auto writtenCounts = aBuilder.CreateVector(counts);
  return fbs::CreateUsageWindow(aBuilder,
                                aWindow.window,
                                writtenOrganisations,
                                writtenCounts,
                                aWindow.isComplete);
}

/** Reads a window; returns false if it is malformed. */
bool
ReadWindow(const fbs::UsageWindow& aWindow,
           const std::vector<std::string>& aNames,
           UsageWindow& aRead)
{
  const auto* organisations = aWindow.organisations();
  const auto* counts = aWindow.counts();
  if (organisations == nullptr || counts == nullptr ||
      organisations->size() != counts->size() ||
      !IsAligned(organisations, alignof(std::uint16_t)) ||
      !IsAligned(counts, alignof(std::uint32_t))) {
    return false;
  }
  aRead.window = aWindow.window();
  aRead.isComplete = aWindow.complete();
  for (flatbuffers::uoffset_t index = 0; index < counts->size(); ++index) {
    const std::uint16_t organisation = organisations->Get(index);
    if (organisation >= aNames.size()) {
      return false;
    }
    aRead.counts[aNames[organisation]] = counts->Get(index);
  }
  return true;
}

} // namespace

EncodedMessage<fbs::UsageNews>
Write(FlatBufferBuilder& aBuilder, const UsageNews& aNews)
{
  NameTable names;
  std::vector<Offset<fbs::UsageLifetime>> lifetimes;
  lifetimes.reserve(aNews.lifetimes.size());
  for (const UsageLifetime& lifetime : aNews.lifetimes) {
    std::vector<Offset<fbs::UsageWindow>> windows;
    windows.reserve(lifetime.windows.size());
    for (const UsageWindow& window : lifetime.windows) {
      windows.push_back(WriteWindow(aBuilder, window, names));
    }
    const auto written = aBuilder.CreateVector(windows);
    lifetimes.push_back(fbs::CreateUsageLifetime(
      aBuilder, lifetime.start, lifetime.host, written));
  }
  const auto writtenNames = aBuilder.CreateVectorOfStrings(names.Names());
  const auto written = aBuilder.CreateVector(lifetimes);
  return { fbs::Message::UsageNews,
           fbs::CreateUsageNews(
             aBuilder, writtenNames, written, aNews.time.count()) };
}

EncodedMessage<fbs::UsageRequest>
Write(FlatBufferBuilder& aBuilder, const UsageRequest& aRequest)
{
  return { fbs::Message::UsageRequest,
           fbs::CreateUsageRequest(aBuilder,
                                   aRequest.first,
                                   aRequest.last,
                                   aRequest.fixedThrough,
                                   aRequest.time.count()) };
}

EncodedMessage<fbs::UsageLease>
Write(FlatBufferBuilder& aBuilder, const UsageLease& aLease)
{
  const auto holder = aBuilder.CreateString(aLease.holder);
  return { fbs::Message::UsageLease,
           fbs::CreateUsageLease(aBuilder,
                                 holder,
                                 aLease.process,
                                 aLease.fence,
                                 aLease.sequence,
                                 aLease.revision,
                                 aLease.era,
                                 aLease.isReleased,
                                 aLease.fixedThrough,
                                 aLease.doneThrough) };
}

FrameError
Read(const fbs::UsageNews& aNews, WireMessage& aMessage)
{
  UsageNews news;
  news.time = std::chrono::microseconds(aNews.time_us());
  std::vector<std::string> names;
  if (aNews.names() != nullptr) {
    for (const auto* name : *aNews.names()) {
      names.push_back(name->str());
    }
  }
  if (aNews.lifetimes() != nullptr) {
    for (const fbs::UsageLifetime* lifetime : *aNews.lifetimes()) {
      UsageLifetime& read = news.lifetimes.emplace_back();
      read.start = lifetime->start();
      read.host = lifetime->host();
      if (lifetime->windows() == nullptr) {
        continue;
      }
      for (const fbs::UsageWindow* window : *lifetime->windows()) {
        if (!ReadWindow(*window, names, read.windows.emplace_back())) {
          return FrameError::Corrupt;
        }
      }
    }
  }
  aMessage = std::move(news);
  return FrameError::None;
}

FrameError
Read(const fbs::UsageRequest& aRequest, WireMessage& aMessage)
{
  aMessage = UsageRequest{ aRequest.first(),
                           aRequest.last(),
                           aRequest.fixed_through(),
                           std::chrono::microseconds(aRequest.time_us()) };
  return FrameError::None;
}

FrameError
Read(const fbs::UsageLease& aLease, WireMessage& aMessage)
{
  aMessage = UsageLease{ aLease.holder()->str(), aLease.process(),
                         aLease.fence(),         aLease.sequence(),
                         aLease.revision(),      aLease.era(),
                         aLease.released(),      aLease.fixed_through(),
                         aLease.done_through() };
  return FrameError::None;
}

} // namespace fireflytrail::wire
