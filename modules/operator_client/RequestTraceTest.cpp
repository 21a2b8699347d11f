#include "operator_client/RequestTrace.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using fireflytrail::operator_client::RequestTrace;

namespace {

/** Returns the number of lines that contain a text. */
std::size_t
CountLinesWith(const std::vector<std::string>& aTrace, std::string_view aText)
{
  return static_cast<std::size_t>(
    std::ranges::count_if(aTrace, [aText](const std::string& aLine) {
      return aLine.find(aText) != std::string::npos;
    }));
}

} // namespace

BOOST_AUTO_TEST_SUITE(RequestTraceTest)

// Guards against a trace that does not show why a request was refused under
// overload.
BOOST_AUTO_TEST_CASE(ReportsWhyRequestWasRefusedUnderOverload)
{
  RequestTrace trace("9c41");
  trace.AddLine("a",
                R"({"time":"T01","level":"info","event":)"
                R"("configuration_in_force","version":7,"revision":31})");
  trace.AddLine("a",
                R"({"time":"T02","event":"failure_domain_changed",)"
                R"("failure_domain":"akl-b","is_out":true,"revision":40})");
  trace.AddLine("a",
                R"(  3.1 edge-a {"time":"T03","event":"request_ended",)"
                R"("id":"9c41","service":"s","kind":"overloaded",)"
                R"("waited_ms":150,"retry_after_ms":400})");
  trace.AddLine("a", R"({"time":"T03","event":"request_ended","id":"other"})");
  BOOST_REQUIRE(trace.IsFound());
  const auto lines = trace.Format();
  BOOST_REQUIRE(lines.size() == 4U);
  BOOST_TEST(lines[0].find("believed: configuration_in_force version=7") !=
             std::string::npos);
  BOOST_TEST(CountLinesWith(lines, "failure_domain=akl-b is_out=true") == 1U);
  BOOST_TEST(CountLinesWith(lines, "waited_ms=150") == 1U);
  BOOST_TEST(lines[3].starts_with("=> overloaded: refused, not run"));
}

// Guards against a trace that hides the crash of an instance as the cause,
// and against state of instances that the request was never sent to.
BOOST_AUTO_TEST_CASE(ReportsTheCrashedInstance)
{
  RequestTrace trace("9c41");
  trace.AddLine("a",
                R"({"time":"T01","event":"instance_changed","instance":"i-1",)"
                R"("revision":5})");
  trace.AddLine("a",
                R"({"time":"T01","event":"instance_changed","instance":"i-2",)"
                R"("revision":6})");
  trace.AddLine("a",
                R"({"time":"T02","event":"attempt_failed","id":"9c41",)"
                R"("instance":"i-1","kind":"connection_lost",)"
                R"("is_crash":true})");
  trace.AddLine("a",
                R"({"time":"T03","event":"request_ended","id":"9c41",)"
                R"("instance":"i-1","kind":"connection_lost"})");
  const auto lines = trace.Format();
  BOOST_TEST(CountLinesWith(lines, "is_crash=true") == 1U);
  BOOST_TEST(CountLinesWith(lines, "instance=i-2") == 0U);
  BOOST_TEST(lines.back().find("outcome unknown") != std::string::npos);
}

// Guards against showing state that the daemon received only after the request,
// or state from the log of a daemon that did not handle the request.
BOOST_AUTO_TEST_CASE(ReportsDaemonStateAtTimeOfRequest)
{
  RequestTrace trace("9c41");
  trace.AddLine(
    "a", R"({"time":"T01","event":"configuration_in_force","version":7})");
  trace.AddLine("a", R"({"time":"T02","event":"store_lost","why":"reset"})");
  trace.AddLine(
    "b", R"({"time":"T03","event":"configuration_in_force","version":8})");
  trace.AddLine("a",
                R"({"time":"T05","event":"request_refused","id":"9c41",)"
                R"("kind":"unknown_call","configuration":7})");
  trace.AddLine(
    "a", R"({"time":"T06","event":"configuration_in_force","version":8})");
  const auto lines = trace.Format();
  BOOST_TEST(CountLinesWith(lines, "configuration_in_force version=7") == 1U);
  BOOST_TEST(CountLinesWith(lines, "configuration_in_force version=8") == 0U);
  BOOST_TEST(CountLinesWith(lines, "store_lost") == 1U);
  BOOST_TEST(lines.back().find("no route") != std::string::npos);
}

// Guards against a request whose connection ended without an answer and whose
// trace does not say how far it had come and who ended it.
BOOST_AUTO_TEST_CASE(ReportsWhoEndedTheConnection)
{
  RequestTrace trace("9c41");
  trace.AddLine("a",
                R"({"time":"T02","event":"request_cut","id":"9c41",)"
                R"("stage":"sent_to_server","instance":"i-1"})");
  trace.AddLine("a",
                R"({"time":"T03","event":"caller_connection_ended",)"
                R"("id":"9c41","stage":"running","closed_by":"stop"})");
  const auto lines = trace.Format();
  BOOST_REQUIRE(lines.size() == 4U);
  BOOST_TEST(lines[2].find("the outcome is unknown") != std::string::npos);
  BOOST_TEST(lines[3] == "=> no complete answer: the process ended while it "
                         "was handled");
}

// Guards against failing on lines of other programs and truncated lines, and
// against a trace for a request that no line has.
BOOST_AUTO_TEST_CASE(CountsUnreadableLines)
{
  RequestTrace trace("9c41");
  trace.AddLine("a", "plain text");
  trace.AddLine("a", R"({"time":"T01","event":"request_en)");
  trace.AddLine("a", "");
  BOOST_TEST(trace.UnreadableCount() == 3U);
  BOOST_TEST(!trace.IsFound());
  BOOST_TEST(trace.Format().empty());
}

BOOST_AUTO_TEST_SUITE_END()
