#include "store/ObjectReplica.h"

#include "store/StoreRevision.h"

#include <boost/test/unit_test.hpp>

using namespace fireflytrail::store;

namespace {

ObjectRecord
Object(const std::string& aName,
       std::uint64_t aRevision,
       bool aIsDeleted = false)
{
  return { "k", aName, aRevision, aIsDeleted, {} };
}

} // namespace

// Guards against replacing an object by an older revision that arrives late,
// for example reverting a configuration.
BOOST_AUTO_TEST_CASE(LateUpdatesDoNotReplaceNewerObjects)
{
  ObjectReplica replica;
  replica.ReplaceAll("k", 10, { Object("a", 5) });
  BOOST_TEST(replica.Apply("k", 5, { Object("a", 12) }).size() == 1U);
  BOOST_TEST(replica.Apply("k", 5, { Object("a", 11) }).empty());
  BOOST_TEST(replica.Objects("k").front().revision == 12U);
}

// Guards against a late update that restores a deleted object.
BOOST_AUTO_TEST_CASE(DeletedObjectsStayDeleted)
{
  ObjectReplica replica;
  replica.ReplaceAll("k", 10, { Object("a", 5) });
  BOOST_TEST(replica.Apply("k", 5, { Object("a", 12, true) }).size() == 1U);
  BOOST_TEST(replica.Apply("k", 5, { Object("a", 8) }).empty());
  BOOST_TEST(replica.Objects("k").empty());
  // An object created later under the same name is a new one.
  BOOST_TEST(replica.Apply("k", 12, { Object("a", 13) }).size() == 1U);
  BOOST_TEST(replica.Objects("k").size() == 1U);
}

// Guards against missing changes without noticing: `CompleteRevision` must not
// advance past a gap.
BOOST_AUTO_TEST_CASE(CompleteRevisionDoesNotAdvancePastAGap)
{
  ObjectReplica replica;
  BOOST_TEST(replica.CompleteRevision("k") == 0U);
  replica.ReplaceAll("k", 10, { Object("a", 5) });
  BOOST_TEST(replica.CompleteRevision("k") == 5U);
  // The change at revision 7 is missing before this one.
  replica.Apply("k", 7, { Object("b", 9) });
  BOOST_TEST(replica.CompleteRevision("k") == 5U);
  replica.Apply("k", 5, { Object("c", 7), Object("b", 9) });
  BOOST_TEST(replica.CompleteRevision("k") == 9U);
  BOOST_TEST(replica.ChangesSince("k", 5).size() == 2U);
}

// Guards against keeping objects that a list no longer contains, and against
// removing an object that was changed after the revision of the list.
BOOST_AUTO_TEST_CASE(ListRemovesMissingObjects)
{
  ObjectReplica replica;
  replica.ReplaceAll("k", 10, { Object("a", 5), Object("b", 6) });
  replica.Apply("k", 6, { Object("c", 30) });
  const auto changed = replica.ReplaceAll("k", 20, { Object("b", 6) });
  BOOST_REQUIRE(changed.size() == 1U);
  BOOST_TEST(changed.front().name == "a");
  BOOST_TEST(changed.front().isDeleted);
  BOOST_TEST(replica.Objects("k").size() == 2U);
}

// Guards against treating a stale list as complete up to a newer change that
// was received from another daemon.
BOOST_AUTO_TEST_CASE(StaleListIsCompleteOnlyUpToItsRevision)
{
  ObjectReplica replica;
  replica.Apply("k", 99, { Object("c", 100) });
  replica.ReplaceAll("k", 90, { Object("a", 5), Object("b", 85) });
  BOOST_TEST(replica.CompleteRevision("k") == 85U);
  replica.Apply("k", 85, { Object("a", 95), Object("c", 100) });
  BOOST_TEST(replica.CompleteRevision("k") == 100U);
}

// Guards against a server that had left and is in use again after a restart: a
// list that was read stale arrives after a newer snapshot of another daemon.
BOOST_AUTO_TEST_CASE(StaleListDoesNotRestoreObjectsDeletedBeforeASnapshot)
{
  ObjectReplica replica;
  replica.ReplaceAll("k", 20, { Object("b", 15) });
  replica.NoteComplete("k", 20);
  BOOST_TEST(
    replica.ReplaceAll("k", 10, { Object("a", 5), Object("b", 7) }).empty());
  BOOST_REQUIRE(replica.Objects("k").size() == 1U);
  BOOST_TEST(replica.Objects("k").front().revision == 15U);
  // A list that is not stale is right.
  BOOST_TEST(replica.ReplaceAll("k", 25, { Object("a", 5) }).size() == 2U);
}

// Guards against the same by the late update of a daemon that has not heard of
// the deletion.
BOOST_AUTO_TEST_CASE(LateUpdateDoesNotRestoreObjectsDeletedBeforeASnapshot)
{
  ObjectReplica replica;
  replica.ReplaceAll("k", 20, { Object("b", 15) });
  replica.NoteComplete("k", 20);
  BOOST_TEST(replica.Apply("k", 4, { Object("a", 5) }).empty());
  BOOST_TEST(replica.Objects("k").size() == 1U);
  BOOST_TEST(replica.Apply("k", 20, { Object("a", 21) }).size() == 1U);
}

// Guards against a list without some of the objects that removes those that
// another daemon has read.
BOOST_AUTO_TEST_CASE(PartialListRemovesNothing)
{
  ObjectReplica replica;
  replica.ReplaceAll("k", 20, { Object("a", 5), Object("b", 15) });
  const auto changed =
    replica.AddListed("k", 30, { Object("b", 15), Object("c", 25) });
  BOOST_REQUIRE(changed.size() == 1U);
  BOOST_TEST(changed.front().name == "c");
  BOOST_TEST(replica.Objects("k").size() == 3U);
  // A change between the two lists may be missing.
  BOOST_TEST(replica.CompleteRevision("k") == 15U);

  ObjectReplica unlisted;
  unlisted.Apply("k", 9, { Object("d", 10) });
  unlisted.AddListed("k", 30, { Object("b", 15) });
  BOOST_TEST(unlisted.IsListed("k"));
  BOOST_TEST(unlisted.Objects("k").size() == 2U);
  BOOST_TEST(unlisted.CompleteRevision("k") == 15U);
}

// Guards against taking the objects that a partial list lacks for deleted ones
// when another daemon delivers them.
BOOST_AUTO_TEST_CASE(ObjectsThatAPartialListLacksMayArriveLater)
{
  ObjectReplica replica;
  replica.AddListed("k", 30, { Object("b", 25) });
  BOOST_TEST(replica.Apply("k", 25, { Object("a", 5) }).size() == 1U);
  // A complete list tells again what is gone.
  replica.ReplaceAll("k", 40, { Object("a", 5), Object("b", 25) });
  BOOST_TEST(replica.Apply("k", 25, { Object("c", 6) }).empty());
}

// Guards against objects that stay as they were after the store came back from
// an older copy: its list replaces the whole kind.
BOOST_AUTO_TEST_CASE(AListOfAHigherEraReplacesTheKind)
{
  ObjectReplica replica;
  replica.ReplaceAll(
    "k",
    JoinRevision(1, 30),
    { Object("a", JoinRevision(1, 25)), Object("gone", JoinRevision(1, 28)) });
  const auto changed = replica.ReplaceAll(
    "k", JoinRevision(2, 12), { Object("a", JoinRevision(2, 5)) });
  BOOST_TEST(changed.size() == 2U);
  BOOST_TEST(replica.Objects("k").size() == 1U);
  BOOST_TEST(replica.Objects("k").front().revision == JoinRevision(2, 5));
  // News of the earlier era arrive late.
  BOOST_TEST(
    replica
      .Apply("k", JoinRevision(1, 28), { Object("a", JoinRevision(1, 40)) })
      .empty());
  BOOST_TEST(
    replica.ReplaceAll("k", JoinRevision(1, 50), { Object("gone", 45) })
      .empty());
  BOOST_TEST(replica.Objects("k").size() == 1U);
}

// Guards against a kind that counts as complete in an era of which only single
// changes are known, and against one without objects that has no era.
BOOST_AUTO_TEST_CASE(OnlyAListMakesAKindCompleteInAnEra)
{
  ObjectReplica replica;
  replica.ReplaceAll(
    "k", JoinRevision(1, 30), { Object("a", JoinRevision(1, 25)) });
  replica.Apply(
    "k", replica.CompleteRevision("k"), { Object("b", JoinRevision(2, 7)) });
  BOOST_TEST(EraOf(replica.CompleteRevision("k")) == 1U);
  replica.ReplaceAll("empty", JoinRevision(2, 12), {});
  BOOST_TEST(EraOf(replica.CompleteRevision("empty")) == 2U);
}

// Guards against a deleted object that comes back from a host with an older
// list: the list that lacks it may have no change that is as new.
BOOST_AUTO_TEST_CASE(ObjectThatTheListLacksIsNotTakenFromOthers)
{
  ObjectReplica replica;
  replica.ReplaceAll("k", 30, { Object("a", 5) });
  replica.NoteReadUpTo("k", 30);
  BOOST_TEST(replica.Apply("k", 5, { Object("gone", 25) }).empty());
  BOOST_TEST(replica.Objects("k").size() == 1U);
  // What was created later is taken.
  BOOST_TEST(replica.Apply("k", 5, { Object("new", 31) }).size() == 1U);
  replica.NoteReadUpTo("k", 40);
  BOOST_TEST(replica.Apply("k", 31, { Object("gone", 35) }).empty());
}
