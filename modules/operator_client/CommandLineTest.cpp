#include "operator_client/CommandLine.h"

#include <boost/test/unit_test.hpp>
#include <gflags/gflags.h>

#include <string>
#include <vector>

DEFINE_string(test_text, "", "a text");
DEFINE_int64(test_number, -1, "a number");
DEFINE_bool(test_switch, false, "a switch");
DEFINE_string(test_other, "", "a flag of another subcommand");

using fireflytrail::operator_client::CommandLine;
using fireflytrail::operator_client::FlagSet;

namespace {

CommandLine
Parse(const std::vector<std::string>& aArguments)
{
  return CommandLine::Parse(aArguments,
                            { "test_text", "test_number", "test_switch" });
}

} // namespace

// Guards against rejecting one of the usual forms of flags and arguments.
BOOST_AUTO_TEST_CASE(AcceptsTheUsualForms)
{
  const gflags::FlagSaver saver;
  const auto commandLine = Parse({ "one",
                                   "--test-text",
                                   "a b",
                                   "-test_number=7",
                                   "--test-switch",
                                   "two",
                                   "--",
                                   "--three" });
  BOOST_TEST(commandLine.error == "");
  BOOST_TEST((commandLine.arguments ==
              std::vector<std::string>{ "one", "two", "--three" }));
  BOOST_TEST(FLAGS_test_text == "a b");
  BOOST_TEST(FLAGS_test_number == 7);
  BOOST_TEST(FLAGS_test_switch);
  BOOST_TEST(Parse({ "--notest-switch" }).error == "");
  BOOST_TEST(!FLAGS_test_switch);
  BOOST_TEST(Parse({ "--test-switch=true", "--test-text=" }).error == "");
  BOOST_TEST(FLAGS_test_switch);
  BOOST_TEST(FLAGS_test_text == "");
}

// Guards against mistakes that are silently ignored, for example a flag that
// has no effect on the subcommand.
BOOST_AUTO_TEST_CASE(ReportsMistakesInOneLine)
{
  const gflags::FlagSaver saver;
  BOOST_TEST(Parse({ "--nothing" }).error == "unknown flag --nothing");
  BOOST_TEST(Parse({ "--test-other=1" }).error ==
             "unknown flag --test-other=1");
  BOOST_TEST(Parse({ "--flagfile=x" }).error == "unknown flag --flagfile=x");
  BOOST_TEST(Parse({ "--test-text" }).error ==
             "flag --test-text needs a value");
  BOOST_TEST(Parse({ "--test-number=seven" }).error ==
             "bad value \"seven\" of flag --test-number, which takes int64");
  BOOST_TEST(Parse({ "--test-switch=maybe" }).error ==
             "bad value \"maybe\" of flag --test-switch, which takes bool");
  BOOST_TEST(FLAGS_test_number == -1);
}

// Guards against reporting a request for help as an unknown flag.
BOOST_AUTO_TEST_CASE(HelpIsAccepted)
{
  BOOST_TEST(Parse({ "--help" }).wantsHelp);
  BOOST_TEST(Parse({ "one", "-h" }).wantsHelp);
  BOOST_TEST(!Parse({ "one" }).wantsHelp);
}
