#include "moves/DomainCapacity.h"

#include <boost/test/unit_test.hpp>

using namespace fireflytrail::moves;

namespace {

DomainCapacity::Load
LoadWith(double aBusy)
{
  return {
    { "till-sales",
      { { "a", { 8, aBusy } }, { "b", { 8, aBusy } }, { "c", { 8, aBusy } } } },
    { "germ-log", { { "a", { 8, 1 } }, { "b", { 8, 1 } } } }
  };
}

} // namespace

// Guards against taking out a domain although the others cannot carry its load,
// and against a refusal when they can.
BOOST_AUTO_TEST_CASE(ComparesLoadWithRemainingSlots)
{
  const auto enough = DomainCapacity::Check(LoadWith(4), "c", {});
  BOOST_TEST(enough.isEnough);
  const auto insufficient = DomainCapacity::Check(LoadWith(4.5), "a", {});
  BOOST_TEST(!insufficient.isEnough);
  BOOST_TEST(insufficient.ToString().find(
               "till-sales: 13.5 slots in use, 16 stay, of which 12.8 may be "
               "in use: not enough") != std::string::npos);
  BOOST_TEST(insufficient.ToString().find(
               "germ-log: 2.0 slots in use, 8 stay") != std::string::npos);
}

// Guards against counting the slots of a domain that is out already, and
// against taking out the last servers of an idle service.
BOOST_AUTO_TEST_CASE(CountsDomainsThatAreOut)
{
  BOOST_TEST(DomainCapacity::Check(LoadWith(1), "a", {}).isEnough);
  BOOST_TEST(!DomainCapacity::Check(LoadWith(3), "a", { "b" }).isEnough);
  const DomainCapacity::Load idle = { { "germ-log", { { "a", { 8, 0 } } } } };
  BOOST_TEST(!DomainCapacity::Check(idle, "a", {}).isEnough);
}
