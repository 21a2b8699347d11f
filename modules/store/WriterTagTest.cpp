#include "store/WriterTag.h"

#include <boost/json/parse.hpp>
#include <boost/test/unit_test.hpp>

#include <string>

using fireflytrail::store::WriterTag;

// Guards against a tag that changes the object for readers or makes it invalid.
BOOST_AUTO_TEST_CASE(ReadersGetTheObjectByteForByte)
{
  const WriterTag tag(0x12ab);
  for (const std::string object :
       { "{}", "{ }", "{\n\"a\":1}", R"({"writer":"mine","a":[1, 2]})" }) {
    const std::string stored = tag.AddTo(object);
    BOOST_TEST(tag.IsIn(stored));
    BOOST_TEST(boost::json::parse(stored).is_object());
    BOOST_TEST(WriterTag::RemoveFrom(stored) == object);
  }
}

// Guards against treating another client's write as this client's.
BOOST_AUTO_TEST_CASE(OtherTagsAreNotFound)
{
  const std::string stored = WriterTag(1).AddTo(R"({"a":1})");
  BOOST_TEST(!WriterTag(2).IsIn(stored));
  BOOST_TEST(!WriterTag(1).IsIn(R"({"a":1})"));
}

// Guards against changing an object that was stored without a tag.
BOOST_AUTO_TEST_CASE(ObjectsWithoutTagAreUnchanged)
{
  for (const std::string object : { "",
                                    "{",
                                    R"({"writer":")",
                                    R"({"writer":"short"})",
                                    R"({"writer":"zzzzzzzzzzzzzzzz"})",
                                    R"({"writer":"0000000000000001)" }) {
    BOOST_TEST(WriterTag::RemoveFrom(object) == object);
  }
}
