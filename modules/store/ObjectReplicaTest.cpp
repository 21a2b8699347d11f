#include "store/ObjectReplica.h"

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

// Guards against an older revision of an object that arrives late and replaces
// a newer one, for example a configuration that goes back.
BOOST_AUTO_TEST_CASE(LateNewsDoesNotReplaceNewerObjects)
{
  ObjectReplica replica;
  replica.ReplaceAll("k", 10, { Object("a", 5) });
  BOOST_TEST(replica.Apply("k", 5, { Object("a", 12) }).size() == 1U);
  BOOST_TEST(replica.Apply("k", 5, { Object("a", 11) }).empty());
  BOOST_TEST(replica.Objects("k").front().revision == 12U);
}

// Guards against a deleted object that comes back with late news.
BOOST_AUTO_TEST_CASE(DeletedObjectsStayDeleted)
{
  ObjectReplica replica;
  replica.ReplaceAll("k", 10, { Object("a", 5) });
  BOOST_TEST(replica.Apply("k", 5, { Object("a", 12, true) }).size() == 1U);
  BOOST_TEST(replica.Apply("k", 5, { Object("a", 8) }).empty());
  BOOST_TEST(replica.Objects("k").empty());
  // The same name, registered again later, is a new object.
  BOOST_TEST(replica.Apply("k", 12, { Object("a", 13) }).size() == 1U);
  BOOST_TEST(replica.Objects("k").size() == 1U);
}

// Guards against changes that are missed without notice.
BOOST_AUTO_TEST_CASE(AGapIsSeenInTheLastChange)
{
  ObjectReplica replica;
  BOOST_TEST(replica.LastChange("k") == 0U);
  replica.ReplaceAll("k", 10, { Object("a", 5) });
  BOOST_TEST(replica.LastChange("k") == 5U);
  // A change at 7 is missing before this one.
  replica.Apply("k", 7, { Object("b", 9) });
  BOOST_TEST(replica.LastChange("k") == 5U);
  replica.Apply("k", 5, { Object("c", 7), Object("b", 9) });
  BOOST_TEST(replica.LastChange("k") == 9U);
  BOOST_TEST(replica.ChangesSince("k", 5).size() == 2U);
}

// Guards against objects that stay although a list no longer has them, and
// against dropping one that was changed after the list was made.
BOOST_AUTO_TEST_CASE(AListRemovesMissingObjects)
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

// Guards against a list that may be old and passes for complete because of a
// newer change that came from elsewhere.
BOOST_AUTO_TEST_CASE(AnOldListIsCompleteUpToItsRevisionOnly)
{
  ObjectReplica replica;
  replica.Apply("k", 99, { Object("c", 100) });
  replica.ReplaceAll("k", 90, { Object("a", 5), Object("b", 85) });
  BOOST_TEST(replica.LastChange("k") == 85U);
  replica.Apply("k", 85, { Object("a", 95), Object("c", 100) });
  BOOST_TEST(replica.LastChange("k") == 100U);
}
