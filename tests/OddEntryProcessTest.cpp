#include "ProcessFleet.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include <array>
#include <string>
#include <thread>
#include <vector>

using namespace fireflytrail;
using namespace std::chrono_literals;
using UnknownCursor = soak::ObjectStore::UnknownCursor;

namespace {

using FleetFixture = test::ProcessFleet;

constexpr std::size_t kServers = FleetFixture::kServers;

/** Returns what another writer stores: it describes nothing. */
boost::json::value
OddSpec()
{
  return boost::json::object{ { "note", "left by another writer" } };
}

constexpr std::array kUnknownCursors = { UnknownCursor::Accepted,
                                         UnknownCursor::Refused,
                                         UnknownCursor::Ignored };

} // namespace

// Guards against a name by another writer that changes the meaning of the
// request for the next page: no server came into force after a restart of all
// daemons.
BOOST_DATA_TEST_CASE_F(FleetFixture,
                       OddNamesAtTheEndsOfPagesDoNotStopTheService,
                       boost::unit_test::data::xrange(kUnknownCursors.size()),
                       rule)
{
  // Each name sorts directly after a server's and so ends a page of two.
  constexpr std::array kSuffixes = { "&",   "+",      "#",        "%",
                                     " ",   "%41",    "\xc3\xa9", "\x01\r\n",
                                     "/?=", "&after=" };
  static_assert(kSuffixes.size() == kServers);
  this->store.SetPageSize(2);
  this->store.SetUnknownCursor(kUnknownCursors[rule]);
  for (std::size_t index = 0; index < kServers; ++index) {
    this->store.Put("servers", ServerName(index) + kSuffixes[index], OddSpec());
  }
  for (const char* kind : { "config", "rollouts", "evacuations" }) {
    for (const char* suffix : kSuffixes) {
      this->store.Put(kind, fmt::format("a{}", suffix), OddSpec());
    }
  }
  this->Start();
  this->CheckService();
}

// Guards against a list that never ends because the store begins it again: the
// objects that it returns are to be used.
BOOST_FIXTURE_TEST_CASE(ListThatTheStoreBeginsAgainEnds, FleetFixture)
{
  constexpr std::size_t kPageSize = 4;
  this->store.SetPageSize(kPageSize);
  this->store.SetUnknownCursor(UnknownCursor::AllIgnored);
  this->Start();
  this->CheckService(kPageSize);
  // Each daemon lists four kinds once, and pings every half second. A page is
  // requested again at most eight times.
  const auto lists = this->ListCount();
  BOOST_TEST(lists < 200U);
  this->CheckLogs(R"("event":"list_incomplete","kind":"servers")");
}

// Guards against an entry without a name that ends the list at the end of a
// page: the servers of the next pages got no work.
BOOST_FIXTURE_TEST_CASE(EntriesWithoutANameDoNotEndTheList, FleetFixture)
{
  this->store.SetPageSize(2);
  // Each stands directly after a server and so ends a page of two.
  const std::array<boost::json::value, kServers> values = {
    boost::json::object{ { "note", "no metadata" } },
    boost::json::object{ { "Metadata", 7 }, { "Spec", OddSpec() } },
    boost::json::object{ { "Metadata", boost::json::object() } },
    boost::json::object{
      { "Metadata", boost::json::object{ { "Name", 7 }, { "Revision", 3 } } } },
    boost::json::object{
      { "Metadata", boost::json::object{ { "Name", "" } } } },
    "a text",
    7,
    nullptr,
    boost::json::array{ 1, 2 },
    boost::json::object()
  };
  for (std::size_t index = 0; index < kServers; ++index) {
    this->store.PutForeign("servers", ServerName(index) + "x", values[index]);
  }
  this->Start();
  this->CheckService();
  this->CheckLogsLack("list_incomplete");
}

// Guards against taking a store that refuses one kind for one that is away, and
// against a log that doesn't name the request.
BOOST_FIXTURE_TEST_CASE(RefusedKindIsNoOutage, FleetFixture)
{
  this->store.SetRefusedKind("rollouts");
  this->Start();
  this->CheckService();
  std::this_thread::sleep_for(2s);
  this->CheckLogsLack("store_lost");
  this->CheckLogs(R"("event":"store_request_refused","kind":"rollouts",)"
                  R"("target":"/objects/rollouts?AllowStale=1","status":400)");
}

// The same for the kind that shows whether the store answers.
BOOST_FIXTURE_TEST_CASE(RefusedPingIsNoOutage, FleetFixture)
{
  this->store.SetRefusedKind("evacuations");
  this->Start();
  this->CheckService();
  std::this_thread::sleep_for(2s);
  this->CheckLogsLack("store_lost");
  this->CheckLogs(R"("event":"store_request_refused","kind":"evacuations")");
}

// Guards against a request line that is longer than a store reads, and against
// a line of the log that is dropped because it is too long.
BOOST_FIXTURE_TEST_CASE(LongNamesDoNotStopTheService, FleetFixture)
{
  this->store.SetPageSize(2);
  for (std::size_t index = 0; index < kServers; ++index) {
    this->store.Put(
      "servers", ServerName(index) + std::string(100'000, 'x'), OddSpec());
  }
  this->Start();
  this->CheckService();
  this->CheckLogs(R"("event":"instance_unreadable","instance":"i-0xxx)");
}

// Guards against a server that gets no work because its name has characters
// that mean something in a target.
BOOST_FIXTURE_TEST_CASE(ServersWithOddNamesGetWork, FleetFixture)
{
  this->store.SetPageSize(2);
  const std::vector<std::string> names = { "a b", "a&b", "a+b",  "a#b",
                                           "a%b", "a/b", "a\"b", "a\xc3\xa9" };
  for (const std::string& name : names) {
    this->AddServer(name);
  }
  this->Start();
  this->CheckService(kServers + names.size());
}

// Guards against a name with line breaks that adds fields to the requests at a
// server.
BOOST_FIXTURE_TEST_CASE(NamesAddNoFieldsToRequests, FleetFixture)
{
  this->AddServer("a\r\nX-Smuggled: 1");
  this->AddServer("a\n");
  this->AddServer(" a");
  this->AddServer("a ");
  this->Start();
  this->CheckService();
  BOOST_TEST(!this->hasSmuggledField);
  this->CheckLogs(
    R"("event":"instance_unreadable","instance":"a\u000d\u000aX-Smuggled)");
}

// Guards against a name that is longer than any field and ends the daemons.
BOOST_FIXTURE_TEST_CASE(NameLongerThanAFieldEndsNoDaemon, FleetFixture)
{
  this->AddServer(std::string(70'000, 'a'));
  this->Start();
  this->CheckService();
  this->CheckLogs(R"("event":"instance_unreadable","instance":"aaaa)");
}
