#include "store/ObjectListing.h"

#include "store/ObjectDialect.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <utility>
#include <vector>

using namespace fireflytrail::store;
using Progress = ObjectListing::Progress;

namespace {

ObjectPage
MakePage(std::uint64_t aRevision,
         bool aHasMore,
         const std::vector<std::string>& aNames)
{
  ObjectPage page;
  page.hasMore = aHasMore;
  page.revision = aRevision;
  for (const std::string& name : aNames) {
    page.objects.push_back({ "k", name, aRevision, false, {} });
  }
  return page;
}

} // namespace

// Guards against a change between two pages that is in neither.
BOOST_AUTO_TEST_CASE(ListIsCompleteUpToTheLowestRevision)
{
  ObjectListing listing;
  BOOST_TEST(listing.Cursor().empty());
  BOOST_TEST(
    (listing.Add(MakePage(7, true, { "a", "b" })) == Progress::Continues));
  BOOST_TEST(listing.Cursor() == "b");
  BOOST_TEST((listing.Add(MakePage(9, false, { "c" })) == Progress::Complete));
  BOOST_TEST(listing.Revision() == 7U);
  BOOST_TEST(listing.TakeObjects().size() == 3U);
}

// Guards against a list that never ends, and takes ever more memory, because
// the store begins it again or does not move on.
BOOST_AUTO_TEST_CASE(PagesWithoutANewObjectEndTheList)
{
  for (const std::vector<std::string>& names :
       { std::vector<std::string>{ "a", "b" }, std::vector<std::string>{} }) {
    ObjectListing listing;
    listing.Add(MakePage(7, true, { "a", "b" }));
    Progress progress = Progress::Continues;
    int requests = 0;
    while (progress == Progress::Continues && requests < 100) {
      progress = listing.Add(MakePage(7, true, names));
      ++requests;
    }
    BOOST_TEST((progress == Progress::Incomplete));
    BOOST_TEST(requests <= 10);
    BOOST_TEST(listing.StuckAfter() == "b");
    BOOST_TEST(listing.TakeObjects().size() == 2U);
  }
}

// Guards against giving up a list because of one name after which the store
// does not continue.
BOOST_AUTO_TEST_CASE(AnEarlierNameContinuesAListThatDoesNotMoveOn)
{
  ObjectListing listing;
  listing.Add(MakePage(7, true, { "a", "b", "odd" }));
  BOOST_TEST(listing.Cursor() == "odd");
  BOOST_TEST((listing.Add(MakePage(7, true, { "a", "b", "odd" })) ==
              Progress::Continues));
  BOOST_TEST(listing.Cursor() == "b");
  BOOST_TEST((listing.Add(MakePage(7, true, { "odd", "c", "d" })) ==
              Progress::Continues));
  BOOST_TEST(listing.Cursor() == "d");
  BOOST_TEST((listing.Add(MakePage(7, false, { "e" })) == Progress::Complete));
  BOOST_TEST(listing.TakeObjects().size() == 6U);
}

// Guards against an object that changed while the list was read and keeps its
// earlier state.
BOOST_AUTO_TEST_CASE(TheNewestStateOfAnObjectIsKept)
{
  ObjectListing listing;
  listing.Add(MakePage(7, true, { "a", "b" }));
  listing.Add(MakePage(9, true, { "b" }));
  listing.Add(MakePage(8, false, { "b" }));
  const auto objects = listing.TakeObjects();
  BOOST_REQUIRE(objects.size() == 2U);
  BOOST_TEST(objects.at(1).revision == 9U);
}

// Guards against a list that ends early at an object without a name, and
// against one that such objects keep from ending.
BOOST_AUTO_TEST_CASE(ObjectsWithoutANameSelectNoPage)
{
  ObjectListing listing;
  BOOST_TEST(
    (listing.Add(MakePage(7, true, { "a", "" })) == Progress::Continues));
  BOOST_TEST(listing.Cursor() == "a");
  BOOST_TEST(
    (listing.Add(MakePage(7, true, { "", "b" })) == Progress::Continues));
  BOOST_TEST(listing.Cursor() == "b");
  BOOST_TEST(
    (listing.Add(MakePage(7, false, { "", "c" })) == Progress::Complete));
  // One object without a name is kept, for the log.
  BOOST_TEST(listing.TakeObjects().size() == 4U);

  ObjectListing repeated;
  repeated.Add(MakePage(7, true, { "a", "", "b" }));
  repeated.Add(MakePage(7, true, { "a", "", "b" }));
  BOOST_TEST(repeated.Cursor() == "a");

  ObjectListing stuck;
  Progress progress = Progress::Continues;
  int requests = 0;
  while (progress == Progress::Continues && requests < 100) {
    progress = stuck.Add(MakePage(7, true, { "", "" }));
    ++requests;
  }
  BOOST_TEST((progress == Progress::Incomplete));
  BOOST_TEST(requests <= 10);
}

// Guards against a request line that is longer than a store reads, because of
// the name of another writer's object.
BOOST_AUTO_TEST_CASE(LongNamesSelectNoPage)
{
  const std::string longName(100'000, 'x');
  ObjectListing listing;
  BOOST_TEST(
    (listing.Add(MakePage(7, true, { "a", longName })) == Progress::Continues));
  BOOST_TEST((listing.Cursor() == "a"));
  BOOST_TEST(
    (listing.Add(MakePage(7, true, { longName, "b" })) == Progress::Continues));
  BOOST_TEST((listing.Cursor() == "b"));
  BOOST_TEST((listing.Add(MakePage(7, false, {})) == Progress::Complete));
  BOOST_TEST(listing.TakeObjects().size() == 3U);
}
