#include "configuration/OperatorText.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <fstream>
#include <sstream>

using namespace fireflytrail::configuration;

namespace {

std::string
ReadExample(const std::string& aName)
{
  std::ifstream file(std::string(FIREFLYTRAIL_SOURCE_DIR "/examples/") + aName);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

/** A text with two services; each test changes one part of it. */
std::string
TextWith(const std::string& aServiceA, const std::string& aServiceB)
{
  return R"({ "name": "test", "weighs_most": "latency",
  "regions": { "north": ["a", "b"] },
  "services": {
    "first": { "slots": 4, "version": "1", )" +
         aServiceA + R"(,
      "calls": { "get": { "method": "GET", "path": "/get", "deadline_ms": 10 } } },
    "second": { "slots": 4, "version": "1", )" +
         aServiceB + R"(,
      "calls": { "get": { "method": "GET", "path": "/get", "deadline_ms": 90 } } } } })";
}

std::vector<TextError>
ErrorsOf(const std::string& aText)
{
  const auto result = OperatorText::Parse(aText);
  return result ? std::vector<TextError>{} : result.error();
}

bool
HasError(const std::vector<TextError>& aErrors,
         std::size_t aLine,
         std::string_view aPath,
         std::string_view aPart)
{
  return std::ranges::any_of(aErrors, [&](const TextError& aError) {
    return aError.line == aLine && aError.path == aPath &&
           aError.message.find(aPart) != std::string::npos;
  });
}

} // namespace

// Guards against shipped examples that are rejected, and against a call that is
// read with the wrong guarantee.
BOOST_AUTO_TEST_CASE(AcceptsBothExamples)
{
  const auto kowhai = OperatorText::Parse(ReadExample("kowhai.json"));
  BOOST_REQUIRE(kowhai.has_value());
  BOOST_TEST((kowhai.value().primaryCriterion == PrimaryCriterion::Latency));
  BOOST_TEST(kowhai.value().FailureDomains().size() == 3U);
  const ServiceSettings* sales = kowhai.value().FindService("till-sales");
  BOOST_REQUIRE(sales != nullptr);
  BOOST_TEST((sales->probeCost == std::chrono::microseconds(6000)));
  const CallSettings* sell = sales->FindRoute("POST", "/sell");
  BOOST_REQUIRE(sell != nullptr);
  BOOST_TEST(sell->atMostOnce);
  BOOST_TEST(!sell->repeatable);
  BOOST_TEST((sell->priority == Priority::Urgent));

  const auto icheon = OperatorText::Parse(ReadExample("icheon.json"));
  BOOST_REQUIRE(icheon.has_value());
  BOOST_TEST(
    (icheon.value().primaryCriterion == PrimaryCriterion::BadVersions));
  const ServiceSettings* meters = icheon.value().FindService("meterview");
  BOOST_REQUIRE(meters != nullptr);
  BOOST_TEST(!meters->probeCost.has_value());
  BOOST_TEST((icheon.value().LargestDeadline() == std::chrono::seconds(3)));
}

// Guards against parsing that stops at the first error, and against wrong
// lines, paths and ranges in the messages.
BOOST_AUTO_TEST_CASE(ReportsAllErrorsInOnePass)
{
  const std::string text = R"({
  "name": "Bad Name",
  "weighs_most": "speed",
  "regions": { "north": ["a"] },
  "services": {
    "first": {
      "slots": 0,
      "version": "1",
      "colour": "red",
      "measuring_budget": 2,
      "calls": {
        "get": {
          "method": "FETCH",
          "path": "get",
          "deadline_ms": "soon"
        }
      }
    }
  },
  "moves": { "first_share": 0.5 }
})";
  const auto errors = ErrorsOf(text);
  BOOST_TEST(errors.size() == 9U);
  BOOST_TEST(HasError(errors, 2, "name", "1 to 64 characters"));
  BOOST_TEST(
    HasError(errors, 3, "weighs_most", "\"latency\", \"bad_versions\""));
  BOOST_TEST(HasError(errors, 7, "services.first.slots", "from 1 to 10000"));
  BOOST_TEST(HasError(errors, 9, "services.first.colour", "unknown key"));
  BOOST_TEST(HasError(errors, 10, "services.first.measuring_budget", "to 0.1"));
  BOOST_TEST(HasError(errors, 13, "services.first.calls.get.method", "GET"));
  BOOST_TEST(HasError(errors, 14, "services.first.calls.get.path", "\"/\""));
  BOOST_TEST(HasError(
    errors, 15, "services.first.calls.get.deadline_ms", "1 to 600000"));
  BOOST_TEST(HasError(errors, 20, "moves.first_share", "0.001 to 0.05"));
  BOOST_TEST(std::ranges::is_sorted(errors, {}, &TextError::line));
}

// Guards against a missing required key that silently gets a default.
BOOST_AUTO_TEST_CASE(ReportsMissingKeys)
{
  const auto errors = ErrorsOf("{ \"services\": { \"x\": {} } }");
  BOOST_TEST(HasError(errors, 1, "name", "required"));
  BOOST_TEST(HasError(errors, 1, "weighs_most", "required"));
  BOOST_TEST(HasError(errors, 1, "regions", "required"));
  BOOST_TEST(HasError(errors, 1, "services.x.slots", "required"));
  BOOST_TEST(HasError(errors, 1, "services.x.version", "required"));
  BOOST_TEST(HasError(errors, 1, "services.x.calls", "required"));
}

// Guards against accepting a dependency cycle, in which admission control would
// treat a service as a dependency of itself.
BOOST_AUTO_TEST_CASE(NamesDependencyCycle)
{
  const auto errors = ErrorsOf(
    TextWith(R"("depends_on": ["second"])", R"("depends_on": ["first"])"));
  BOOST_REQUIRE_EQUAL(errors.size(), 1U);
  BOOST_TEST(HasError(
    errors, 4, "services.first.depends_on", "first -> second -> first"));
}

// Guards against accepting a dependency on an unknown service, for example
// because its name is misspelled.
BOOST_AUTO_TEST_CASE(ReportsUnknownDependency)
{
  const auto errors =
    ErrorsOf(TextWith(R"("depends_on": [])", R"("depends_on": ["frist"])"));
  BOOST_REQUIRE_EQUAL(errors.size(), 1U);
  BOOST_TEST(HasError(errors, 6, "services.second.depends_on", "\"frist\""));
}

// Guards against accepting two calls that the entry daemon cannot distinguish.
BOOST_AUTO_TEST_CASE(ReportsDuplicateRoute)
{
  const auto errors = ErrorsOf(R"({ "name": "test", "weighs_most": "latency",
  "regions": { "north": ["a"] }, "services": { "first": { "slots": 4,
    "version": "1", "calls": {
      "one": { "method": "GET", "path": "/x", "deadline_ms": 10 },
      "two": { "method": "GET", "path": "/x", "deadline_ms": 10 } } } } })");
  BOOST_REQUIRE_EQUAL(errors.size(), 1U);
  BOOST_TEST(
    HasError(errors, 5, "services.first.calls.two", "duplicate route"));
}

// Guards against the last of two duplicate keys silently overriding the first.
BOOST_AUTO_TEST_CASE(ReportsDuplicateKeys)
{
  const auto errors =
    ErrorsOf(TextWith(R"("slots": 5)", R"("depends_on": [])"));
  BOOST_REQUIRE_EQUAL(errors.size(), 1U);
  BOOST_TEST(HasError(errors, 4, "services.first.slots", "given twice"));
}

// Guards against accepting a call that is both repeatable and at most once.
BOOST_AUTO_TEST_CASE(RefusesRepeatableAtMostOnce)
{
  const auto errors = ErrorsOf(R"({ "name": "test", "weighs_most": "latency",
  "regions": { "north": ["a"] }, "services": { "first": { "slots": 4,
    "version": "1", "calls": { "one": { "method": "POST", "path": "/x",
      "at_most_once": true, "repeatable": true, "deadline_ms": 10 } } } } })");
  BOOST_REQUIRE_EQUAL(errors.size(), 1U);
  BOOST_TEST(HasError(
    errors, 4, "services.first.calls.one.repeatable", "must not be true"));
}

// Guards against wrong line numbers for syntax errors.
BOOST_AUTO_TEST_CASE(ReportsLineOfSyntaxError)
{
  const auto errors = ErrorsOf("// comment\n{\n  \"name\": \"x\"\n  oops\n}\n");
  BOOST_REQUIRE_EQUAL(errors.size(), 1U);
  BOOST_TEST(errors[0].line == 4U);
  BOOST_TEST(HasError(errors, 4, "", "syntax error"));
}

// Guards against a truncated text, for example from an interrupted upload, that
// is accepted or causes a crash.
BOOST_AUTO_TEST_CASE(RefusesEveryTruncation)
{
  const std::string text = ReadExample("kowhai.json");
  BOOST_REQUIRE(text.size() > 100U);
  const std::size_t end = text.rfind('}');
  for (std::size_t size = 0; size <= end; ++size) {
    BOOST_REQUIRE(!OperatorText::Parse(text.substr(0, size)));
  }
}

// Guards against text or a second document after the end being ignored.
BOOST_AUTO_TEST_CASE(RefusesTextAfterTheEnd)
{
  const std::string text =
    TextWith(R"("depends_on": [])", R"("depends_on": [])");
  BOOST_TEST(OperatorText::Parse(text + "\n// end\n/* end */").has_value());
  BOOST_TEST(!OperatorText::Parse(text + "\n{}").has_value());
}

// Guards against stack overflow caused by deep nesting.
BOOST_AUTO_TEST_CASE(RefusesDeepNesting)
{
  const auto errors = ErrorsOf(std::string(100'000, '['));
  BOOST_REQUIRE_EQUAL(errors.size(), 1U);
  BOOST_TEST(HasError(errors, 1, "", "syntax error"));
}
