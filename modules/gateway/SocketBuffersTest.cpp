#include "gateway/SocketBuffers.h"

#include <boost/test/unit_test.hpp>

using namespace fireflytrail::gateway;

// Guards against a sum of buffers that grows with the connections, and against
// setting all of them again and again at the border between two sizes.
BOOST_AUTO_TEST_CASE(BuffersOfAllConnectionsKeepTheirSum)
{
  constexpr std::size_t kTotal = std::size_t{ 8 } << 20U;
  constexpr std::size_t kMax = std::size_t{ 64 } << 10U;
  SocketBuffers buffers(kTotal, kMax);
  unsigned changes = 0;
  for (std::size_t count = 0; count <= 2000; ++count) {
    changes += buffers.Update(count) ? 1 : 0;
    BOOST_TEST(count * buffers.Bytes() <= kTotal);
  }
  BOOST_TEST(changes == 4U);
  BOOST_TEST(!buffers.Update(1500));
  BOOST_TEST(!buffers.Update(2000));
  BOOST_TEST(!buffers.Update(1'000'000));
  BOOST_TEST(buffers.Bytes() == SocketBuffers::kMinBytes);
  BOOST_TEST(buffers.Update(0));
  BOOST_TEST(buffers.Bytes() == kMax);
}
