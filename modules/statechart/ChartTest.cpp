#include "statechart/Chart.h"

#include "EmbeddedCharts.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

using namespace fireflytrail::statechart;

namespace {

/** Returns the message for a chart with states `a` and `b`, events `go` and
 * `stop`, and action `act`. */
std::string
MessageFor(std::string_view aStateA, std::string_view aStateB)
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

// Guards against a shipped chart that the daemon aborts on.
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

// Guards against a chart with a mistake being accepted, and against messages
// that do not name the state or event.
BOOST_AUTO_TEST_CASE(RejectsInvalidCharts)
{
  BOOST_TEST(MessageFor(kStateA, kStateB).empty());
  BOOST_TEST(MessageFor(R"({ "on": { "go": { "target": "a",
                              "action": "act" } }, "ignore": ["stop"] })",
                        kStateB) == "state b: unreachable");
  BOOST_TEST(MessageFor(kStateA, R"({ "on": {}, "ignore": ["go"] })") ==
             "state b: unhandled event stop");
  BOOST_TEST(MessageFor(R"({ "on": { "go": { "target": "b",
                              "action": "jump" } }, "ignore": ["stop"] })",
                        kStateB) == "state a, event go: unknown action jump");
  BOOST_TEST(MessageFor(R"({ "on": { "go": { "target": "c" } },
                              "ignore": ["stop"] })",
                        kStateB) == "state a, event go: unknown target c");
  BOOST_TEST(
    MessageFor(kStateA, R"({ "on": {}, "ignore": ["go", "stop", "halt"] })") ==
    "state b: unknown event halt");
  BOOST_TEST(MessageFor(R"({ "on": { "go": { "target": "b",
                              "action": "act" } },
                              "ignore": ["go", "stop"] })",
                        kStateB) ==
             "state a: event go is both handled and ignored");
  BOOST_TEST(MessageFor(R"({ "on": { "go": { "target": "b" } },
                              "ignore": ["stop"] })",
                        kStateB) == "action act: never used");
  BOOST_TEST(!Chart::Load("{").has_value());
  BOOST_TEST(!Chart::Load("[]").has_value());
  BOOST_TEST(!Chart::Load("{}").has_value());
}

// Guards against a taken-back version, a kept version or a stopped daemon that
// some event brings back.
BOOST_AUTO_TEST_CASE(FinalStatesHaveNoWayOut)
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
