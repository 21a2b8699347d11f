#include "operator_client/CheckCommand.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

using namespace fireflytrail::operator_client;

namespace {

const std::string kText = R"({
  "name": "shop", "weighs_most": "latency",
  "regions": { "north": ["a", "b"] },
  "services": { "till": { "depends_on": [], "slots": 4, "version": "1",
    "calls": { "list": { "method": "GET", "path": "/list",
                         "deadline_ms": 1000 } } } } })";

struct Fixture
{
  std::vector<std::string> lines;
  std::vector<std::string> errors;
  CheckCommand command{ CommandOutput{
    [this](std::string_view aLine) { this->lines.emplace_back(aLine); },
    [this](std::string_view aLine) { this->errors.emplace_back(aLine); } } };
};

std::string
Settings(const std::string& aDomain)
{
  return R"({"name":"e1","region":"north","failure_domain":")" + aDomain +
         R"(","store":"127.0.0.1:1","listen":"127.0.0.1:0",)"
         R"("peer_listen":"127.0.0.1:0","operator_listen":"127.0.0.1:0"})";
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(CheckCommandTest, Fixture)

// Guards against a valid text or valid settings being rejected.
BOOST_AUTO_TEST_CASE(AcceptsAValidTextAndSettings)
{
  BOOST_TEST(
    (this->command.Run({ "t.json", kText }, NamedText{ "s", Settings("a") }) ==
     ExitCode::Ok));
  BOOST_TEST((this->lines == std::vector<std::string>{
                               "t.json: ok: shop: 1 services, 1 calls, "
                               "2 failure domains",
                               "s: ok: daemon e1" }));
  BOOST_TEST(this->errors.empty());
}

// Guards against an error message without file and line, and against exit code
// `Ok` after an error.
BOOST_AUTO_TEST_CASE(NamesFileAndLineOfEachError)
{
  std::string text = kText;
  text.replace(text.find("latency"), 7, "speed");
  text.replace(text.find("1000"), 4, "-5");
  BOOST_TEST((this->command.Run({ "t.json", text }) == ExitCode::Refused));
  BOOST_REQUIRE(this->errors.size() == 2U);
  BOOST_TEST(this->errors[0].starts_with("t.json: line 2: weighs_most: "));
  BOOST_TEST(this->errors[1].starts_with("t.json: line 6: services.till."));
}

// Guards against accepting daemon settings that name a failure domain which the
// operators' text does not have, for example the settings of another system.
BOOST_AUTO_TEST_CASE(ChecksSettingsAgainstTheText)
{
  BOOST_TEST((this->command.Run({ "t.json", kText },
                                NamedText{ "s.json", Settings("c") }) ==
              ExitCode::Refused));
  BOOST_REQUIRE(this->errors.size() == 1U);
  BOOST_TEST(this->errors[0].starts_with("s.json: failure_domain: "));
}

BOOST_AUTO_TEST_SUITE_END()
