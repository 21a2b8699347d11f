#pragma once

#include "gossip/DocumentPatch.h"

#include <cstdint>
#include <string>
#include <vector>

namespace fireflytrail::wire {

/** A changed object of the store. */
struct NewsObject
{
  std::string name;
  std::uint64_t revision = 0;
  bool isDeleted = false;
  /** The object as read from the store, in JSON; empty if the object is deleted
   * or sent as a patch. */
  std::string content;
  /** Revision of the object that the patch applies to; 0 if there is no patch.
   */
  std::uint64_t patchBase = 0;
  std::vector<gossip::PatchPart> patch;
  /** Hash of the patched content. */
  std::uint64_t contentHash = 0;

  bool operator==(const NewsObject&) const = default;
};

/** Changes of one kind of the store's objects. */
struct KindNews
{
  std::string kind;
  /** Revision of the last change before the listed ones. */
  std::uint64_t base = 0;
  /** Revision of the last change that the sender knows. */
  std::uint64_t revision = 0;
  /** Whether this is a snapshot that lists all objects of the kind. */
  bool isSnapshot = false;
  std::vector<NewsObject> objects;

  bool operator==(const KindNews&) const = default;
};

/** Changes that a daemon which reads the store sends to the others. */
struct StoreNews
{
  std::vector<KindNews> kinds;
  /** Whether the receiver forwards them to the others in its failure domain. */
  bool isForwardRequested = false;

  bool operator==(const StoreNews&) const = default;
};

} // namespace fireflytrail::wire
