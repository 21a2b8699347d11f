#include "statechart/Machine.h"

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace fireflytrail::statechart;

// Guards against wrong states or a wrong order of actions while a failure
// domain is taken out of service and returned, and against an ignored event
// that has an effect.
BOOST_AUTO_TEST_CASE(RunsTheMoveChart)
{
  std::vector<std::string> actions;
  Machine machine(Chart::Embedded("move"), [&](std::string_view aAction) {
    actions.emplace_back(aAction);
  });
  BOOST_TEST(machine.Is("in"));
  BOOST_TEST(!machine.Handle("ramp_finished"));
  BOOST_TEST(machine.Is("in"));
  BOOST_TEST(machine.Handle("ask_out"));
  BOOST_TEST(machine.Handle("ask_in"));
  BOOST_TEST(machine.Is("returning"));
  BOOST_TEST(machine.Handle("ask_out"));
  BOOST_TEST(machine.Handle("ask_in"));
  BOOST_TEST(machine.Handle("ramp_finished"));
  BOOST_TEST(machine.State() == "in");
  const std::vector<std::string> expected{
    "stop_new_work", "start_ramp", "stop_new_work", "start_ramp", "finish_ramp"
  };
  BOOST_TEST(actions == expected, boost::test_tools::per_element());
}

// Guards against an action that is called before the state has changed.
BOOST_AUTO_TEST_CASE(ActionSeesTheNewState)
{
  std::string seen;
  Machine* self = nullptr;
  Machine machine(Chart::Embedded("move"),
                  [&](std::string_view) { seen = self->State(); });
  self = &machine;
  machine.Handle("ask_out");
  BOOST_TEST(seen == "out");
}

// Guards against `Resume` calling an action, which had its effect before the
// state was recorded.
BOOST_AUTO_TEST_CASE(ResumesWithoutAction)
{
  int count = 0;
  Machine machine(Chart::Embedded("version_move"),
                  [&](std::string_view) { ++count; });
  machine.Resume("taken_back");
  BOOST_TEST(!machine.Handle("found_bad"));
  BOOST_TEST(machine.Is("taken_back"));
  BOOST_TEST(count == 0);
}
