#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fireflytrail::gossip {

/** Literal bytes followed by a range of the old document. */
struct PatchPart
{
  std::string literal;
  std::uint32_t offset = 0;
  std::uint32_t length = 0;

  bool operator==(const PatchPart&) const = default;
};

/**
 * Computes and applies the difference between two versions of a document. A
 * change of the desired state usually touches a few lines of a document of
 * 30 KB or more.
 */
class DocumentPatch
{
public:
  /** Returns the parts that turn `aOld` into `aNew`. Thread-safe. */
  static std::vector<PatchPart> Make(std::string_view aOld,
                                     std::string_view aNew);

  /**
   * Returns the new document, or nothing if a part lies outside the old one
   * or the result exceeds `aMaxSize` bytes. Thread-safe.
   */
  static std::optional<std::string> Apply(std::string_view aOld,
                                          const std::vector<PatchPart>& aParts,
                                          std::size_t aMaxSize);

  /** Returns the estimated encoded size of the parts in bytes. Thread-safe. */
  static std::size_t EncodedSize(const std::vector<PatchPart>& aParts);
};

} // namespace fireflytrail::gossip
