#include "core/Log.h"

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
