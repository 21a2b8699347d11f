#include "usage/UsageLedger.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

namespace fireflytrail::usage {

BOOST_AUTO_TEST_SUITE(UsageLedgerTest)

// Guards against requests that are counted twice when a message comes again, or
// lost when an older one comes later.
BOOST_AUTO_TEST_CASE(CountersMergeInAnyOrder)
{
  UsageLedger ledger;
  ledger.Of(1, 10)->Raise(5, "a", 7);
  ledger.Of(1, 10)->Raise(5, "a", 3);
  ledger.Of(1, 10)->Raise(5, "a", 7);
  ledger.Of(2, 10)->Raise(5, "a", 2);
  ledger.Of(3, 11)->Raise(5, "b", 1);
  BOOST_TEST((ledger.SumOf(5) == Figures{ { "a", 9 }, { "b", 1 } }));
  BOOST_TEST(ledger.CompleteHosts(5).empty());
  ledger.Of(2, 10)->MarkComplete(5);
  BOOST_TEST((ledger.CompleteHosts(5) == std::set<std::uint64_t>{ 10 }));
}

// Guards against late counts that come back after the figures are fixed.
BOOST_AUTO_TEST_CASE(ForgottenWindowsCountNothing)
{
  UsageLedger ledger;
  ledger.Of(1, 10)->Raise(5, "a", 7);
  ledger.Forget(5);
  BOOST_TEST(ledger.Lifetimes().empty());
  BOOST_TEST(!ledger.Of(1, 10)->Add(5, "a"));
  BOOST_TEST(ledger.Of(1, 10)->Add(6, "a"));
}

// Guards against memory that grows with windows that cannot be reported, or
// with names.
BOOST_AUTO_TEST_CASE(IsBounded)
{
  UsageCounters counters;
  for (WindowNumber window = 1; window <= 100; ++window) {
    counters.Add(window, "a");
  }
  BOOST_TEST(counters.Windows().size() == UsageCounters::kMaxWindows);
  BOOST_TEST(!counters.Add(1, "a"));
  for (std::size_t name = 0; name < 5000; ++name) {
    counters.Add(100, fmt::format("{}", name));
  }
  BOOST_TEST(counters.Windows().at(100).size() ==
             UsageCounters::kMaxOrganisations);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace fireflytrail::usage
