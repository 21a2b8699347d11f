#pragma once

#include "store/ObjectRecord.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace fireflytrail::store {

/**
 * A copy of the objects of some kinds, put together from own reads of the store
 * and from news of other daemons, which arrive in any order. An object is
 * never replaced by an older revision of it.
 *
 * Performs no I/O. Not thread-safe.
 */
class ObjectReplica
{
public:
  /**
   * Takes all objects of a kind that existed at a revision. Returns the objects
   * that are new here, and a deleted object for each that is missing.
   */
  std::vector<ObjectRecord> ReplaceAll(std::string_view aKind,
                                       std::uint64_t aRevision,
                                       std::vector<ObjectRecord> aObjects);

  /**
   * Takes all changes of a kind after `aBase`. Returns those that are new here.
   * They are taken even if changes before them are missing; `IsComplete` then
   * tells of the gap.
   */
  std::vector<ObjectRecord> Apply(std::string_view aKind,
                                  std::uint64_t aBase,
                                  std::vector<ObjectRecord> aObjects);

  /** Notes that a kind is complete up to a change of that revision. */
  void NoteComplete(std::string_view aKind, std::uint64_t aRevision);

  /**
   * Returns the revision of the last change up to which a kind is complete; 0
   * if it was never listed. It is the same on all daemons that know the same
   * changes.
   */
  std::uint64_t LastChange(std::string_view aKind) const;

  /** Whether all objects of a kind were known once. */
  bool IsListed(std::string_view aKind) const;

  /** Returns the objects of a kind that exist. */
  std::vector<ObjectRecord> Objects(std::string_view aKind) const;

  /** Returns the changes of a kind after a revision, deletions too. */
  std::vector<ObjectRecord> ChangesSince(std::string_view aKind,
                                         std::uint64_t aRevision) const;

private:
  struct Kind
  {
    bool isListed = false;
    std::uint64_t lastChange = 0;
    /** Deleted objects stay as tombstones: late news must not bring them
     * back. */
    std::map<std::string, ObjectRecord, std::less<>> objects;
  };

  static bool Take(Kind& aKind, const ObjectRecord& aObject);

  std::map<std::string, Kind, std::less<>> kinds;
};

} // namespace fireflytrail::store
