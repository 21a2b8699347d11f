#include "gateway/HeldConnection.h"

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace fireflytrail::gateway;
using namespace std::chrono_literals;

namespace {

const std::chrono::steady_clock::time_point kStart{ 100s };

} // namespace

// Guards against closing the connection of a readiness check, which comes again
// and again, for one that has sent nothing.
BOOST_AUTO_TEST_CASE(ConnectionWithoutAnExchangeGoesFirst)
{
  BOOST_TEST(!HeldConnection::SelectOldest({}));
  const std::vector<HeldConnection> connections{
    { .hasServed = true, .lastBegin = kStart },
    { .hasServed = false, .lastBegin = kStart + 2s },
    { .hasServed = false, .lastBegin = kStart + 1s },
  };
  BOOST_TEST(HeldConnection::SelectOldest(connections).value() == 2U);
  const std::vector<HeldConnection> served{
    { .hasServed = true, .lastBegin = kStart + 1s },
    { .hasServed = true, .lastBegin = kStart },
  };
  BOOST_TEST(HeldConnection::SelectOldest(served).value() == 1U);
  const std::vector<HeldConnection> ofTwoAddresses{
    { .hasServed = false, .lastBegin = kStart, .ofAddress = 1 },
    { .hasServed = true, .lastBegin = kStart + 1s, .ofAddress = 2 },
    { .hasServed = false, .lastBegin = kStart + 2s, .ofAddress = 2 },
  };
  BOOST_TEST(HeldConnection::SelectOldest(ofTwoAddresses).value() == 2U);
}

// Guards against ending uploads that proceed, or small ones that pause, while
// large ones stop just short of their end.
BOOST_AUTO_TEST_CASE(MostBytesForLeastProgressGoFirst)
{
  const auto now = kStart + 10s;
  const std::vector<HeldConnection> connections{
    { .bytes = 1'000'000, .lastPart = now - 10ms },
    { .bytes = 0, .lastPart = kStart },
    { .bytes = 1'000, .lastPart = now - 2s },
    { .bytes = 200'000, .lastPart = now - 1s },
  };
  BOOST_TEST(HeldConnection::SelectStalled(connections, now, 250ms).value() ==
             3U);
  BOOST_TEST(!HeldConnection::SelectStalled(connections, now, 5s));
}
