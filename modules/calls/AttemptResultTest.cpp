#include "calls/AttemptResult.h"
#include "core/ErrorTable.h"

#include <boost/test/unit_test.hpp>

using namespace fireflytrail;
using namespace fireflytrail::calls;

// Guards against a false "not run": the kind of an attempt may say "not run"
// only if the server's application cannot have seen the request.
BOOST_AUTO_TEST_CASE(KindsFollowTheTruthRule)
{
  for (int value = 0; value <= static_cast<int>(AttemptProgress::Answered);
       ++value) {
    const auto progress = static_cast<AttemptProgress>(value);
    const auto outcome = core::ErrorTable::RowOf(KindOf(progress)).outcome;
    BOOST_TEST((outcome == core::CallOutcome::NotRun) != MayHaveRun(progress));
  }
}
