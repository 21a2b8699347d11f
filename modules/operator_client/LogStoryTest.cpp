#include "operator_client/LogStory.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using fireflytrail::operator_client::LogStory;

namespace {

/** Returns the lines of a story that contain a text. */
std::size_t
CountWith(const std::vector<std::string>& aStory, std::string_view aText)
{
  return static_cast<std::size_t>(
    std::ranges::count_if(aStory, [aText](const std::string& aLine) {
      return aLine.find(aText) != std::string::npos;
    }));
}

} // namespace

BOOST_AUTO_TEST_SUITE(LogStoryTest)

// Guards against an engineer who cannot tell why a request was refused.
BOOST_AUTO_TEST_CASE(TellsWhyARequestWasRefusedUnderOverload)
{
  LogStory story("9c41");
  story.AddLine("a",
                R"({"time":"T01","level":"info","event":)"
                R"("configuration_in_force","version":7,"revision":31})");
  story.AddLine("a",
                R"({"time":"T02","event":"failure_domain_changed",)"
                R"("failure_domain":"akl-b","is_out":true,"revision":40})");
  story.AddLine("a",
                R"(  3.1 edge-a {"time":"T03","event":"request_ended",)"
                R"("id":"9c41","service":"s","kind":"overloaded",)"
                R"("waited_ms":150,"retry_after_ms":400})");
  story.AddLine("a", R"({"time":"T03","event":"request_ended","id":"other"})");
  BOOST_REQUIRE(story.IsFound());
  const auto lines = story.Tell();
  BOOST_REQUIRE(lines.size() == 4U);
  BOOST_TEST(lines[0].find("believed: configuration_in_force version=7") !=
             std::string::npos);
  BOOST_TEST(CountWith(lines, "failure_domain=akl-b is_out=true") == 1U);
  BOOST_TEST(CountWith(lines, "waited_ms=150") == 1U);
  BOOST_TEST(lines[3].starts_with("=> overloaded: refused, not run"));
}

// Guards against a crash that is not seen as the cause, and against beliefs
// about instances that the request never met.
BOOST_AUTO_TEST_CASE(TellsOfTheInstanceThatCrashed)
{
  LogStory story("9c41");
  story.AddLine("a",
                R"({"time":"T01","event":"instance_changed","instance":"i-1",)"
                R"("revision":5})");
  story.AddLine("a",
                R"({"time":"T01","event":"instance_changed","instance":"i-2",)"
                R"("revision":6})");
  story.AddLine("a",
                R"({"time":"T02","event":"attempt_failed","id":"9c41",)"
                R"("instance":"i-1","kind":"connection_lost",)"
                R"("is_crash":true})");
  story.AddLine("a",
                R"({"time":"T03","event":"request_ended","id":"9c41",)"
                R"("instance":"i-1","kind":"connection_lost"})");
  const auto lines = story.Tell();
  BOOST_TEST(CountWith(lines, "is_crash=true") == 1U);
  BOOST_TEST(CountWith(lines, "instance=i-2") == 0U);
  BOOST_TEST(lines.back().find("outcome unknown") != std::string::npos);
}

// Guards against a stale belief that is shown as it became known later, or from
// another daemon's log.
BOOST_AUTO_TEST_CASE(TellsWhatTheDaemonBelievedAtThatMoment)
{
  LogStory story("9c41");
  story.AddLine(
    "a", R"({"time":"T01","event":"configuration_in_force","version":7})");
  story.AddLine("a", R"({"time":"T02","event":"store_lost","why":"reset"})");
  story.AddLine(
    "b", R"({"time":"T03","event":"configuration_in_force","version":8})");
  story.AddLine("a",
                R"({"time":"T05","event":"request_refused","id":"9c41",)"
                R"("kind":"unknown_call","configuration":7})");
  story.AddLine(
    "a", R"({"time":"T06","event":"configuration_in_force","version":8})");
  const auto lines = story.Tell();
  BOOST_TEST(CountWith(lines, "configuration_in_force version=7") == 1U);
  BOOST_TEST(CountWith(lines, "configuration_in_force version=8") == 0U);
  BOOST_TEST(CountWith(lines, "store_lost") == 1U);
  BOOST_TEST(lines.back().find("no route") != std::string::npos);
}

// Guards against logs with lines of other programs, cut lines and nothing about
// the request.
BOOST_AUTO_TEST_CASE(CountsLinesThatCannotBeRead)
{
  LogStory story("9c41");
  story.AddLine("a", "plain text");
  story.AddLine("a", R"({"time":"T01","event":"request_en)");
  story.AddLine("a", "");
  BOOST_TEST(story.UnreadableCount() == 3U);
  BOOST_TEST(!story.IsFound());
  BOOST_TEST(story.Tell().empty());
}

BOOST_AUTO_TEST_SUITE_END()
