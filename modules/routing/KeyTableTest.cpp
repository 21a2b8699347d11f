#include "routing/KeyTable.h"

#include <boost/test/unit_test.hpp>

using namespace fireflytrail;
using namespace fireflytrail::routing;

namespace {

std::shared_ptr<const configuration::RouteConfiguration>
MakeConfiguration(std::vector<configuration::Organisation> aOrganisations)
{
  auto result = std::make_shared<configuration::RouteConfiguration>();
  result->organisations = std::move(aOrganisations);
  return result;
}

std::string
NameOf(const KeyTable& aTable, std::string_view aKey)
{
  const configuration::Organisation* found = aTable.Find(aKey);
  return found == nullptr ? "" : found->name;
}

} // namespace

// Guards against a key that names another organisation, and against taking a
// part of a key, a longer or repeated one or an empty one for it.
BOOST_AUTO_TEST_CASE(FindsOnlyWholeKeys)
{
  const KeyTable table(MakeConfiguration({ { "one", { "aa", "b", "" }, 0 },
                                           { "two", { "c" }, 3 } }),
                       7);
  BOOST_TEST(NameOf(table, "aa") == "one");
  BOOST_TEST(NameOf(table, "b") == "one");
  BOOST_TEST(NameOf(table, "c") == "two");
  BOOST_TEST(table.KeyCount() == 3U);
  for (const char* key : { "", "a", "aaa", "bb", "C", "-" }) {
    BOOST_TEST(NameOf(table, key).empty(), key);
  }
}

// Guards against an answer that depends on the order of hashes when an
// operator gives a key to two organisations.
BOOST_AUTO_TEST_CASE(FirstOrganisationHoldsSharedKey)
{
  for (std::uint64_t seed = 0; seed < 16; ++seed) {
    const KeyTable table(
      MakeConfiguration({ { "one", { "k" }, 0 }, { "two", { "k" }, 0 } }),
      seed);
    BOOST_TEST(NameOf(table, "k") == "one");
  }
}

// Guards against asking for keys where the configuration has no organisations,
// and against asking for none where all keys were withdrawn.
BOOST_AUTO_TEST_CASE(KnowsWhetherKeysAreNeeded)
{
  BOOST_TEST(!KeyTable(MakeConfiguration({}), 7).HasOrganisations());
  const KeyTable table(MakeConfiguration({ { "one", {}, 0 } }), 7);
  BOOST_TEST(table.HasOrganisations());
  BOOST_TEST(NameOf(table, "").empty());
}
