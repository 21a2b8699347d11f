#pragma once

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
  /** The object as the store gave it; empty if deleted. */
  std::string content;

  bool operator==(const NewsObject&) const = default;
};

/** What changed in one kind of the store's objects. */
struct KindNews
{
  std::string kind;
  /** Revision of the last change before these. */
  std::uint64_t base = 0;
  /** Revision of the last change that the sender knows. */
  std::uint64_t revision = 0;
  /** Whether all objects of the kind are listed. */
  bool isWhole = false;
  std::vector<NewsObject> objects;

  bool operator==(const KindNews&) const = default;
};

/** What a daemon that reads the store tells the others. */
struct StoreNews
{
  std::vector<KindNews> kinds;
  /** Whether the receiver passes it on in its failure domain. */
  bool isForwardRequested = false;

  bool operator==(const StoreNews&) const = default;
};

} // namespace fireflytrail::wire
