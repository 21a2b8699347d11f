#include "statechart/Chart.h"

#include "EmbeddedCharts.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

using namespace fireflytrail::statechart;

namespace {

/**
 * Loads a chart with states `a` and `b`, events `go` and `stop`, and action
 * `act`. Returns the error message, empty if the chart is valid.
 */
std::string
LoadErrorOf(std::string_view aStateA, std::string_view aStateB)
{
  const auto result =
    Chart::Load(fmt::format(R"({{ "initial": "a", "events": ["go", "stop"],
      "actions": ["act"], "states": {{ "a": {}, "b": {} }} }})",
                            aStateA,
                            aStateB));
  return result ? "" : result.error();
}

constexpr std::string_view kStateA =
  R"({ "on": { "go": { "target": "b", "action": "act" } },
       "ignore": ["stop"] })";
constexpr std::string_view kStateB =
  R"({ "on": {}, "ignore": ["go", "stop"] })";

} // namespace

// Guards against an embedded chart that makes the daemon abort at startup.
BOOST_AUTO_TEST_CASE(EmbeddedChartsAreValid)
{
  for (const auto& [name, text] : kEmbeddedCharts) {
    const auto result = Chart::Load(text);
    BOOST_TEST(result.has_value(),
               name << ": " << (result ? "" : result.error()));
  }
  for (const char* name : { "server", "move", "version_move", "daemon" }) {
    BOOST_TEST(!Chart::Embedded(name).States().empty());
  }
}

// Guards against accepting an invalid chart, and against error messages that do
// not name the state or event.
BOOST_AUTO_TEST_CASE(RejectsInvalidCharts)
{
  BOOST_TEST(LoadErrorOf(kStateA, kStateB).empty());
  BOOST_TEST(LoadErrorOf(R"({ "on": { "go": { "target": "a",
                              "action": "act" } }, "ignore": ["stop"] })",
                         kStateB) == "state b: unreachable");
  BOOST_TEST(LoadErrorOf(kStateA, R"({ "on": {}, "ignore": ["go"] })") ==
             "state b: unhandled event stop");
  BOOST_TEST(LoadErrorOf(R"({ "on": { "go": { "target": "b",
                              "action": "jump" } }, "ignore": ["stop"] })",
                         kStateB) == "state a, event go: unknown action jump");
  BOOST_TEST(LoadErrorOf(R"({ "on": { "go": { "target": "c" } },
                              "ignore": ["stop"] })",
                         kStateB) == "state a, event go: unknown target c");
  BOOST_TEST(
    LoadErrorOf(kStateA, R"({ "on": {}, "ignore": ["go", "stop", "halt"] })") ==
    "state b: unknown event halt");
  BOOST_TEST(LoadErrorOf(R"({ "on": { "go": { "target": "b",
                              "action": "act" } },
                              "ignore": ["go", "stop"] })",
                         kStateB) ==
             "state a: event go is both handled and ignored");
  BOOST_TEST(LoadErrorOf(R"({ "on": { "go": { "target": "b" } },
                              "ignore": ["stop"] })",
                         kStateB) == "action act: never used");
  BOOST_TEST(!Chart::Load("{").has_value());
  BOOST_TEST(!Chart::Load("[]").has_value());
  BOOST_TEST(!Chart::Load("{}").has_value());
}

// Guards against an event that leaves a final state: a version that was taken
// back or kept, or a stopped daemon, would become active again.
BOOST_AUTO_TEST_CASE(FinalStatesIgnoreAllEvents)
{
  const auto isFinal = [](const char* aChart, const char* aState) {
    const Chart& chart = Chart::Embedded(aChart);
    const std::size_t state = chart.StateIndex(aState).value();
    for (std::size_t event = 0; event < chart.Events().size(); ++event) {
      if (chart.Find(state, event)) {
        return false;
      }
    }
    return true;
  };
  BOOST_TEST(isFinal("version_move", "taken_back"));
  BOOST_TEST(isFinal("version_move", "kept"));
  BOOST_TEST(isFinal("daemon", "stopped"));
}
