#include "store/JsonText.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace fireflytrail;
using store::JsonText;

// Guards against splitting at commas and brackets within strings and nested
// values.
BOOST_AUTO_TEST_CASE(FindsElementsAndMembers)
{
  const auto elements =
    JsonText::ElementsOf(R"( [1, "a,]\"", {"b":[2,3]} ,[] ] )");
  BOOST_REQUIRE(elements.has_value());
  BOOST_REQUIRE(elements->size() == 4U);
  BOOST_TEST(elements->at(0) == "1");
  BOOST_TEST(elements->at(1) == R"("a,]\"")");
  BOOST_TEST(elements->at(2) == R"({"b":[2,3]})");
  BOOST_TEST(elements->at(3) == "[]");
  BOOST_TEST(JsonText::ElementsOf("[]")->empty());
  const std::string object =
    R"({"ab":{"c":1}, "a" : "x,\"a\":2" ,"A":[1,{"a":3}],"n":null})";
  BOOST_TEST(JsonText::MemberOf(object, "a").value() == R"("x,\"a\":2")");
  BOOST_TEST(JsonText::MemberOf(object, "ab").value() == R"({"c":1})");
  BOOST_TEST(JsonText::MemberOf(object, "n").value() == "null");
  BOOST_TEST(!JsonText::MemberOf(object, "c").has_value());
  BOOST_TEST(JsonText::MemberOf(R"({"a":1,"a":2})", "a").value() == "2");
}

// Guards against reading beyond the end of malformed texts.
BOOST_AUTO_TEST_CASE(RejectsUnbalancedTexts)
{
  for (const char* text : { "",
                            "[",
                            "]",
                            "[1",
                            "{}",
                            "[}",
                            "[1]]",
                            "[\"a]",
                            "[\"a\\\"]",
                            "[[1]" }) {
    BOOST_TEST(!JsonText::ElementsOf(text).has_value());
    BOOST_TEST(!JsonText::MemberOf(text, "a").has_value());
  }
  for (const char* text :
       { "{\"a", "{\"a\"", "{\"a\"}", "{\"a\" 1}", "{\"\"}" }) {
    BOOST_TEST(!JsonText::MemberOf(text, "a").has_value());
  }
}

// Guards against a stack overflow for a text that is nested very deeply.
BOOST_AUTO_TEST_CASE(DeepNestingNeedsNoStack)
{
  constexpr std::size_t kDepth = 1'000'000;
  const std::string deep = std::string(kDepth, '[') + std::string(kDepth, ']');
  const std::string array = "[1," + deep + ",2]";
  const auto elements = JsonText::ElementsOf(array);
  BOOST_REQUIRE(elements.has_value());
  BOOST_TEST(elements->size() == 3U);
  BOOST_TEST(elements->at(2) == "2");
}
