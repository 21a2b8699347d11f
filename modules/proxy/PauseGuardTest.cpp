#include "proxy/PauseGuard.h"

#include <boost/test/unit_test.hpp>

using namespace fireflytrail::proxy;
using namespace std::chrono_literals;

// Guards against running a request by a key that was withdrawn while the
// process was away, and against refusing requests without a pause or for ever.
BOOST_AUTO_TEST_CASE(PauseIsRecognisedBeforeAndAfterTheNextTick)
{
  for (const bool hasTick : { false, true }) {
    PauseGuard guard;
    BOOST_TEST(!guard.HasJustWoken(1000s));
    for (auto now = 1000s + 0ms; now < 1010s; now += 500ms) {
      guard.Tick(now);
      BOOST_TEST(!guard.HasJustWoken(now + 400ms));
    }
    if (hasTick) {
      guard.Tick(1015s);
    }
    BOOST_TEST(guard.HasJustWoken(1015s));
    guard.Tick(1015s + 500ms);
    BOOST_TEST(guard.HasJustWoken(1015s + 999ms));
    BOOST_TEST(!guard.HasJustWoken(1016s));
  }
}
