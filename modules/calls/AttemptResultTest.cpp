#include "calls/AttemptResult.h"
#include "core/ErrorTable.h"

#include <boost/test/unit_test.hpp>

using namespace fireflytrail;
using namespace fireflytrail::calls;

// Guards against a false "not run": the error kind of an attempt may have this
// outcome only if the server's application cannot have received the request.
BOOST_AUTO_TEST_CASE(KindIsNotRunOnlyIfServerCannotHaveRun)
{
  for (int value = 0; value <= static_cast<int>(AttemptProgress::Answered);
       ++value) {
    const auto progress = static_cast<AttemptProgress>(value);
    const auto outcome = core::ErrorTable::RowOf(KindOf(progress)).outcome;
    BOOST_TEST((outcome == core::CallOutcome::NotRun) != MayHaveRun(progress));
  }
}
