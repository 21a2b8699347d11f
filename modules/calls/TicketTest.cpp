#include "calls/Ticket.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace fireflytrail;
using namespace fireflytrail::calls;

namespace {

Ticket
Sample()
{
  Ticket ticket;
  ticket.issuer = { "akl-a-1.entry", 0xfeedULL };
  ticket.sequence = 7;
  ticket.expiry = std::chrono::milliseconds(123456);
  ticket.check = ticket.CheckFor(99);
  return ticket;
}

} // namespace

// Guards against a ticket that is changed by formatting and parsing it.
BOOST_AUTO_TEST_CASE(TextFormRoundTrips)
{
  const auto parsed = Ticket::Parse(Sample().Text());
  BOOST_REQUIRE(parsed);
  BOOST_TEST((parsed.value() == Sample()));
}

// Guards against accepting a corrupted ticket: after a change of any character,
// the text is rejected or its check value does not match.
BOOST_AUTO_TEST_CASE(EveryChangedCharacterIsDetected)
{
  const std::string text = Sample().Text();
  for (std::size_t position = 0; position < text.size(); ++position) {
    for (const char other : { '0', '1', 'f', '.', 'x', 'F', ' ' }) {
      std::string changed = text;
      if (changed[position] == other) {
        continue;
      }
      changed[position] = other;
      const auto parsed = Ticket::Parse(changed);
      BOOST_TEST(
        (!parsed || parsed.value().check != parsed.value().CheckFor(99)),
        changed);
    }
  }
}

// Guards against accepting malformed texts and against faults in parsing them.
BOOST_AUTO_TEST_CASE(RejectsMalformedTexts)
{
  for (const std::string& text : { std::string(),
                                   std::string("."),
                                   std::string("...."),
                                   std::string("a.1.2.3"),
                                   std::string(".1.2.3.4"),
                                   std::string("a.1.2.3."),
                                   std::string("a.01.2.3.4"),
                                   std::string("a.1.2.3.11112222333344445"),
                                   std::string(300, 'a') + ".1.2.3.4" }) {
    BOOST_TEST(!Ticket::Parse(text), text);
  }
}
