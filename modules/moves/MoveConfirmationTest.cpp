#include "moves/MoveConfirmation.h"

#include <boost/test/unit_test.hpp>

using namespace fireflytrail::moves;
using Reachability = MoveConfirmation::Reachability;

// Guards against reporting a move as done while a daemon may still send calls
// to the domain.
BOOST_AUTO_TEST_CASE(WaitsForEveryDaemonThatMayBeAlive)
{
  const std::vector<MoveConfirmation::Member> members = {
    { { "entry-1", 1 }, Reachability::Alive },
    { { "entry-2", 2 }, Reachability::Alive },
    { { "entry-3", 3 }, Reachability::Suspect },
    { { "entry-4", 4 }, Reachability::Dead },
  };
  const auto some = MoveConfirmation::Of(members, { { "entry-1", 1 } });
  BOOST_TEST(!some.isDone);
  BOOST_TEST(some.ToString() == "not done: 1 confirmed, waiting for entry-2, "
                                "could not be asked: entry-3, entry-4");
  BOOST_TEST(
    !MoveConfirmation::Of(members, { { "entry-1", 1 }, { "entry-2", 2 } })
       .isDone);
  const auto all = MoveConfirmation::Of(
    members, { { "entry-1", 1 }, { "entry-2", 2 }, { "entry-3", 3 } });
  BOOST_TEST(all.isDone);
  BOOST_TEST(all.ToString() ==
             "done: 3 confirmed, could not be asked: entry-4");
}

// Guards against accepting the confirmation of a process that has been
// replaced, and against "done" before any daemon is known.
BOOST_AUTO_TEST_CASE(ConfirmationBelongsToOneProcess)
{
  const std::vector<MoveConfirmation::Member> members = {
    { { "entry-1", 2 }, Reachability::Alive }
  };
  BOOST_TEST(!MoveConfirmation::Of(members, { { "entry-1", 1 } }).isDone);
  BOOST_TEST(MoveConfirmation::Of(members, { { "entry-1", 2 } }).isDone);
  BOOST_TEST(!MoveConfirmation::Of({}, {}).isDone);
}
