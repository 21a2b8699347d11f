#include "usage/FleetClock.h"

#include <boost/test/unit_test.hpp>

namespace fireflytrail::usage {

using namespace std::chrono_literals;

namespace {

struct ClockTest
{
  core::BootTime now{ 1h };
  core::WallTimePoint wall{ 1'800'000'000s };
  FleetClock clock{ [this] { return this->now; },
                    [this] { return this->wall; } };

  void Pass(std::chrono::seconds aTime)
  {
    for (; aTime > 0s; aTime -= 1s) {
      this->now += 1s;
      this->wall += 1s;
      this->clock.Poll();
    }
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(FleetClockTest, ClockTest)

// Guards against windows that are counted twice or skipped when the time of day
// jumps and jumps back, or when the host was suspended.
BOOST_AUTO_TEST_CASE(JumpsOfTheTimeOfDayChangeNothing)
{
  const core::WallTimePoint start = this->wall;
  this->wall += 4s;
  this->Pass(20s);
  BOOST_TEST((this->clock.Now() == start + 20s));
  this->wall -= 4s;
  this->Pass(1s);
  this->now += 30s;
  this->wall += 30s;
  BOOST_TEST((this->clock.Now() == start + 51s));
}

// Guards against a clock that stays wrong after it was set for good.
BOOST_AUTO_TEST_CASE(AHostAloneAcceptsAJumpThatLasts)
{
  this->wall += 4s;
  this->Pass(59s);
  BOOST_TEST((this->clock.Now() != this->wall));
  this->Pass(2s);
  BOOST_TEST((this->clock.Now() == this->wall));
}

// Guards against a median that follows a single wrong clock.
BOOST_AUTO_TEST_CASE(TheMedianLeavesOutAWrongClock)
{
  BOOST_TEST(!this->clock.FleetTime().has_value());
  this->clock.OnPeerTime(1, this->wall + 3s);
  this->clock.OnPeerTime(2, this->wall + 1ms);
  BOOST_TEST((this->clock.FleetTime() == this->wall + 1ms));
  BOOST_TEST(!this->clock.Adopt(this->wall + 1ms));
  BOOST_TEST(this->clock.Adopt(this->wall - 2s));
  this->Pass(1s);
  BOOST_TEST((this->clock.Now() == this->wall - 2s));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace fireflytrail::usage
