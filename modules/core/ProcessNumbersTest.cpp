#include "core/ProcessNumbers.h"

#include <boost/test/unit_test.hpp>

using namespace fireflytrail;

// Guards against a number that a restarted process gives out again.
BOOST_AUTO_TEST_CASE(NumbersOfAnotherProcessAreTold)
{
  core::ProcessNumbers old(0x1234'5678'0000'0001ULL);
  core::ProcessNumbers current(0x9abc'def0'0000'0001ULL);
  const std::uint64_t first = old.Next();
  BOOST_TEST(first != 0U);
  BOOST_TEST(first != old.Next());
  BOOST_TEST(old.IsOwn(first));
  BOOST_TEST(!current.IsOwn(first));
  BOOST_TEST(first != current.Next());
}
