#include "gossip/DocumentPatch.h"

#include <limits>
#include <unordered_map>

namespace fireflytrail::gossip {

namespace {

// Referring to a shorter common range costs more bytes than sending it.
constexpr std::size_t kBlockSize = 32;

} // namespace

std::vector<PatchPart>
DocumentPatch::Make(std::string_view aOld, std::string_view aNew)
{
  std::unordered_map<std::string_view, std::size_t> blocks;
  if (aOld.size() <= std::numeric_limits<std::uint32_t>::max()) {
    for (std::size_t at = 0; at + kBlockSize <= aOld.size(); at += kBlockSize) {
      blocks.emplace(aOld.substr(at, kBlockSize), at);
    }
  }
  std::vector<PatchPart> parts;
  std::size_t literalStart = 0;
  std::size_t at = 0;
  // Offset at which the old document continues after the last match. It is
  // preferred over the first equal block, since equal lines repeat.
  std::size_t expected = 0;
  while (at + kBlockSize <= aNew.size()) {
    const std::string_view block = aNew.substr(at, kBlockSize);
    std::size_t offset = expected;
    if (expected + kBlockSize > aOld.size() ||
        aOld.substr(expected, kBlockSize) != block) {
      const auto found = blocks.find(block);
      if (found == blocks.end()) {
        ++at;
        ++expected;
        continue;
      }
      offset = found->second;
    }
    while (at > literalStart && offset > 0 &&
           aNew[at - 1] == aOld[offset - 1]) {
      --at;
      --offset;
    }
    std::size_t length = 0;
    while (at + length < aNew.size() && offset + length < aOld.size() &&
           aNew[at + length] == aOld[offset + length]) {
      ++length;
    }
    parts.push_back({ std::string(aNew.substr(literalStart, at - literalStart)),
                      static_cast<std::uint32_t>(offset),
                      static_cast<std::uint32_t>(length) });
    at += length;
    literalStart = at;
    expected = offset + length;
  }
  if (literalStart < aNew.size()) {
    parts.push_back({ std::string(aNew.substr(literalStart)), 0, 0 });
  }
  return parts;
}

std::optional<std::string>
DocumentPatch::Apply(std::string_view aOld,
                     const std::vector<PatchPart>& aParts,
                     std::size_t aMaxSize)
{
  std::string document;
  for (const PatchPart& part : aParts) {
    const std::size_t offset = part.offset;
    if (offset > aOld.size() || part.length > aOld.size() - offset ||
        document.size() + part.literal.size() + part.length > aMaxSize) {
      return std::nullopt;
    }
    document += part.literal;
    document += aOld.substr(offset, part.length);
  }
  return document;
}

std::size_t
DocumentPatch::EncodedSize(const std::vector<PatchPart>& aParts)
{
  constexpr std::size_t kPartOverhead = 28;
  std::size_t size = 0;
  for (const PatchPart& part : aParts) {
    size += kPartOverhead + part.literal.size();
  }
  return size;
}

} // namespace fireflytrail::gossip
