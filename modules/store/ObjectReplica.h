#pragma once

#include "store/ObjectRecord.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace fireflytrail::store {

/**
 * A local copy of the objects of some kinds. It merges this daemon's own reads
 * of the store with updates from other daemons, which arrive in any order. An
 * object is never replaced by an older revision of it, and one that was deleted
 * before the first list is not restored by older data.
 *
 * Revisions are joined with the era of the store (see `JoinRevision`). A list
 * of a higher era replaces the whole kind; single changes of a higher era do
 * not make it complete.
 *
 * Performs no I/O. Not thread-safe.
 */
class ObjectReplica
{
public:
  /**
   * Applies a complete list of the objects of a kind at a revision. Returns the
   * objects that were new or newer, and a tombstone for each known object that
   * is missing from the list and not newer than it.
   */
  std::vector<ObjectRecord> ReplaceAll(std::string_view aKind,
                                       std::uint64_t aRevision,
                                       std::vector<ObjectRecord> aObjects);

  /**
   * Applies a list of the objects of a kind at a revision that lacks some of
   * them. Returns those that were new or newer. If the kind was not listed, it
   * then is, with what is known; other objects stay as they are.
   */
  std::vector<ObjectRecord> AddListed(std::string_view aKind,
                                      std::uint64_t aRevision,
                                      std::vector<ObjectRecord> aObjects);

  /**
   * Applies all changes of a kind after the revision `aBase`. Returns those
   * that were new or newer. They are applied even if changes before `aBase` are
   * missing; the kind then stays complete only up to its earlier revision.
   */
  std::vector<ObjectRecord> Apply(std::string_view aKind,
                                  std::uint64_t aBase,
                                  std::vector<ObjectRecord> aObjects);

  /** Records that all objects of a listed kind up to a revision of the store
   * are known. It may be higher than that of the last change. */
  void NoteReadUpTo(std::string_view aKind, std::uint64_t aRevision);

  /** Marks a kind as listed and complete up to the change at a revision. */
  void NoteComplete(std::string_view aKind, std::uint64_t aRevision);

  /**
   * Returns the revision of the last change up to which no change of a kind is
   * missing; 0 if the kind was never listed. It is the same on all daemons that
   * know the same changes.
   */
  std::uint64_t CompleteRevision(std::string_view aKind) const;

  /** Returns the known revision of an object, also of a deleted one; 0 if the
   * object is not known. */
  std::uint64_t RevisionOf(std::string_view aKind,
                           std::string_view aName) const;

  /**
   * Returns a hash of the names and revisions of the objects of a kind, without
   * deleted ones; never 0. It is the same on all hosts that know the same
   * objects.
   */
  std::uint64_t Digest(std::string_view aKind) const;

  /** Whether the list of a kind lacked some objects. */
  bool IsPartial(std::string_view aKind) const;

  /** Whether a complete list of a kind has been applied. */
  bool IsListed(std::string_view aKind) const;

  /** Returns the objects of a kind, without deleted ones. */
  std::vector<ObjectRecord> Objects(std::string_view aKind) const;

  /** Returns the changes of a kind after a revision, including deletions. */
  std::vector<ObjectRecord> ChangesSince(std::string_view aKind,
                                         std::uint64_t aRevision) const;

private:
  struct KindState
  {
    bool isListed = false;
    /** Whether the list lacked some objects, so that one that is not known need
     * not be deleted. */
    bool isPartial = false;
    std::uint64_t completeRevision = 0;
    /** Revision of the store up to which all objects are known. */
    std::uint64_t readUpTo = 0;
    /** The hashes of all objects that are not deleted, combined by XOR. */
    std::uint64_t digest = 0;
    /** Deleted objects stay as tombstones, so that late updates do not
     * restore them. */
    std::map<std::string, ObjectRecord, std::less<>> objects;
  };

  /**
   * Whether an object was deleted before this replica got its first list: no
   * change up to the object's revision is missing, or the store was read up to
   * it, and still it is not known.
   */
  static bool IsKnownToBeGone(const KindState& aKind,
                              const ObjectRecord& aObject);
  static bool ApplyIfNewer(KindState& aKind, const ObjectRecord& aObject);
  /** Applies the objects of a list; returns those that were new or newer. */
  static std::vector<ObjectRecord> ApplyListed(
    KindState& aKind,
    std::uint64_t aRevision,
    std::vector<ObjectRecord> aObjects);
  /** Marks a kind as listed at a revision. */
  static void SetListed(KindState& aKind, std::uint64_t aRevision);
  /** Returns the part of an object in the digest of its kind. */
  static std::uint64_t DigestOf(const ObjectRecord& aObject);

  std::map<std::string, KindState, std::less<>> kinds;
};

} // namespace fireflytrail::store
