#include "core/MemoryBudget.h"
#include "core/MemoryLease.h"

#include <boost/test/unit_test.hpp>

#include <memory>

using namespace fireflytrail;

// Guards against a sum of leases above the limit, and against bytes that are
// not returned or returned twice.
BOOST_AUTO_TEST_CASE(LeasesStayWithinTheBudget)
{
  const auto budget = std::make_shared<core::MemoryBudget>(100);
  {
    core::MemoryLease first(budget);
    core::MemoryLease second(budget);
    BOOST_TEST(first.TryResize(60));
    BOOST_TEST(!second.TryResize(41));
    BOOST_TEST(second.Size() == 0U);
    BOOST_TEST(second.TryResize(40));
    BOOST_TEST(budget->Used() == 100U);
    BOOST_TEST(!first.TryResize(61));
    BOOST_TEST(first.TryResize(10));
    BOOST_TEST(budget->Used() == 50U);
    BOOST_TEST(budget->RefusedCount() == 2U);
  }
  BOOST_TEST(budget->Used() == 0U);
}

// Guards against bodies that keep all other requests out.
BOOST_AUTO_TEST_CASE(BodiesLeaveTheReserveOfTheBudget)
{
  const auto budget = std::make_shared<core::MemoryBudget>(100, 20);
  core::MemoryLease body(budget);
  core::MemoryLease buffer(budget, core::MemoryUse::Buffer);
  BOOST_TEST(!body.TryResize(81));
  BOOST_TEST(body.TryResize(80));
  BOOST_TEST(buffer.TryResize(20));
  BOOST_TEST(!buffer.TryResize(21));
  BOOST_TEST(body.TryResize(0));
  BOOST_TEST(buffer.TryResize(100));
  BOOST_TEST(!body.TryResize(1));
}

// Guards against refusals by a daemon without a known limit.
BOOST_AUTO_TEST_CASE(LeaseWithoutABudgetGrantsAnySize)
{
  core::MemoryLease lease(nullptr);
  BOOST_TEST(lease.TryResize(1'000'000'000));
}
