#pragma once

#include "store/ObjectRecord.h"
#include "wire/StoreNews.h"

#include <boost/json/value.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace fireflytrail::proxy {

/**
 * Writes and reads the contents of objects in updates between daemons. A change
 * of a large object is sent as a patch against the revision before it, so that
 * the bytes that each host receives depend on the size of the change and not on
 * the size of the object.
 *
 * Performs no I/O. Not thread-safe.
 */
class UpdateContents
{
public:
  /** Smaller objects are always sent whole. */
  static constexpr std::size_t kMinPatchedSize = 4096;

  /** Returns an object with its whole content. */
  wire::NewsObject Write(const store::ObjectRecord& aObject) const;

  /**
   * Returns an object with a patch against its kept content, or with its whole
   * content if there is none or the patch is not much smaller.
   */
  wire::NewsObject WriteChange(const store::ObjectRecord& aObject) const;

  /**
   * Returns the content of an object that is not deleted, and keeps it for
   * later patches. Returns nothing if it is a patch against a revision that is
   * not kept, or not valid JSON.
   */
  std::optional<boost::json::value> Read(const std::string& aKind,
                                         const wire::NewsObject& aObject);

  /**
   * Keeps the content of an object that was read from the store, for later
   * patches. Has no effect if a newer revision is kept.
   */
  void Keep(const store::ObjectRecord& aObject);

private:
  struct Kept
  {
    std::uint64_t revision = 0;
    std::string text;
  };

  const Kept* Find(const std::string& aKind, const std::string& aName) const;
  void KeepText(const std::string& aKind,
                const std::string& aName,
                std::uint64_t aRevision,
                std::string aText);

  /** The contents of large objects by kind and name. */
  std::map<std::pair<std::string, std::string>, Kept> kept;
};

} // namespace fireflytrail::proxy
