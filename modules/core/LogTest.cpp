#include "core/Log.h"

#include "core/OutputSink.h"

#include <boost/json/parse.hpp>
#include <boost/test/unit_test.hpp>

#include <vector>

using namespace fireflytrail::core;

// Guards against log lines that are not valid JSON, for example when a field
// contains bytes sent by a caller.
BOOST_AUTO_TEST_CASE(WritesOneJsonObjectPerLine)
{
  std::vector<std::string> lines;
  const Log log(LogLevel::Info,
                [&](std::string_view aLine) { lines.emplace_back(aLine); });
  log.Write(LogLevel::Info,
            "call_refused",
            { { "path", "a\"b\\c\n\x01" }, { "count", std::int64_t{ 3 } } });
  BOOST_REQUIRE_EQUAL(lines.size(), 1U);
  BOOST_TEST(lines[0].find('\n') == std::string::npos);
  const auto value = boost::json::parse(lines[0]);
  BOOST_TEST(value.at("event").as_string() == "call_refused");
  BOOST_TEST(value.at("path").as_string() == "a\"b\\c\n\x01");
  BOOST_TEST(value.at("count").as_int64() == 3);
}

// Guards against lines below the configured level reaching operators.
BOOST_AUTO_TEST_CASE(DropsLinesBelowItsLevel)
{
  int count = 0;
  const Log log(LogLevel::Warning, [&](std::string_view) { ++count; });
  log.Write(LogLevel::Info, "ignored");
  log.Write(LogLevel::Error, "written");
  BOOST_TEST(count == 1);
}

// Guards against a line that is dropped because a name in it, which another
// writer chose, makes it longer than the output takes.
BOOST_AUTO_TEST_CASE(LongTextsAreCut)
{
  std::vector<std::string> lines;
  const Log log(LogLevel::Info,
                [&](std::string_view aLine) { lines.emplace_back(aLine); });
  // Each of its characters takes six in the line.
  const std::string longName(100'000, '\x01');
  // The cut is not inside of a character.
  std::string longUtf8 = "x";
  while (longUtf8.size() < 100'000) {
    longUtf8 += "\xe2\x82\xac";
  }
  for (const std::string& text : { longName, longUtf8 }) {
    log.Write(LogLevel::Warning,
              "instance_unreadable",
              { { "instance", text }, { "why", text }, { "count", true } });
    BOOST_TEST(lines.back().size() < OutputSink::kMaxLineBytes);
    boost::system::error_code error;
    const auto value = boost::json::parse(lines.back(), error);
    BOOST_REQUIRE(!error);
    const std::string written(value.at("instance").as_string());
    BOOST_TEST(written.ends_with("..."));
    BOOST_TEST(text.starts_with(written.substr(0, written.size() - 3)));
    BOOST_TEST(written.size() > 100U);
  }
}
