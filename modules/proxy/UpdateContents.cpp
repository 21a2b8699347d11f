#include "proxy/UpdateContents.h"

#include "core/Hash.h"
#include "gossip/DocumentPatch.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace fireflytrail::proxy {

using store::ObjectRecord;

namespace {

// A whole object needs no earlier revision at the receiver, so a patch must
// save at least half of the bytes.
constexpr std::size_t kMinSaving = 2;

// The store limits an object to 1 MiB; its text may be longer here, since the
// store may escape characters in another way.
constexpr std::size_t kMaxTextSize = std::size_t{ 4 } << 20;

} // namespace

wire::NewsObject
UpdateContents::Write(const ObjectRecord& aObject) const
{
  wire::NewsObject sent;
  sent.name = aObject.name;
  sent.revision = aObject.revision;
  sent.isDeleted = aObject.isDeleted;
  if (aObject.isDeleted) {
    return sent;
  }
  const Kept* known = this->Find(aObject.kind, aObject.name);
  sent.content = known != nullptr && known->revision == aObject.revision
                   ? known->text
                   : boost::json::serialize(aObject.content);
  return sent;
}

wire::NewsObject
UpdateContents::WriteChange(const ObjectRecord& aObject) const
{
  wire::NewsObject sent = this->Write(aObject);
  const Kept* base = this->Find(aObject.kind, aObject.name);
  if (aObject.isDeleted || base == nullptr ||
      base->revision >= aObject.revision) {
    return sent;
  }
  auto patch = gossip::DocumentPatch::Make(base->text, sent.content);
  if (gossip::DocumentPatch::EncodedSize(patch) * kMinSaving >
      sent.content.size()) {
    return sent;
  }
  sent.patchBase = base->revision;
  sent.patch = std::move(patch);
  sent.contentHash = core::HashOf(sent.content);
  sent.content.clear();
  return sent;
}

std::optional<boost::json::value>
UpdateContents::Read(const std::string& aKind, const wire::NewsObject& aObject)
{
  std::string text = aObject.content;
  if (aObject.patchBase != 0) {
    const Kept* base = this->Find(aKind, aObject.name);
    if (base == nullptr || base->revision != aObject.patchBase) {
      return std::nullopt;
    }
    auto patched =
      gossip::DocumentPatch::Apply(base->text, aObject.patch, kMaxTextSize);
    if (!patched || core::HashOf(*patched) != aObject.contentHash) {
      return std::nullopt;
    }
    text = std::move(*patched);
  }
  boost::system::error_code error;
  boost::json::value content = boost::json::parse(text, error);
  if (error) {
    return std::nullopt;
  }
  this->KeepText(aKind, aObject.name, aObject.revision, std::move(text));
  return content;
}

void
UpdateContents::Keep(const ObjectRecord& aObject)
{
  if (!aObject.isDeleted) {
    this->KeepText(aObject.kind,
                   aObject.name,
                   aObject.revision,
                   boost::json::serialize(aObject.content));
  }
}

const UpdateContents::Kept*
UpdateContents::Find(const std::string& aKind, const std::string& aName) const
{
  const auto found = this->kept.find({ aKind, aName });
  return found == this->kept.end() ? nullptr : &found->second;
}

void
UpdateContents::KeepText(const std::string& aKind,
                         const std::string& aName,
                         std::uint64_t aRevision,
                         std::string aText)
{
  const Kept* known = this->Find(aKind, aName);
  if (known != nullptr && known->revision >= aRevision) {
    return;
  }
  if (aText.size() < kMinPatchedSize) {
    this->kept.erase({ aKind, aName });
    return;
  }
  this->kept[{ aKind, aName }] = { aRevision, std::move(aText) };
}

} // namespace fireflytrail::proxy
