#pragma once

#include <functional>

namespace fireflytrail::review {

class Deployment;
class Recorder;

/** Judges a case: returns 1 if the rule was broken, 0 if it held, 2 if the case
 * could not run. The flag says whether the disruption happens. */
using CaseFunction = std::function<int(Deployment&, Recorder&, bool)>;

/** Runs a case, ends all processes that it started, and ends this process with
 * its result. The only argument of the program is the folder of the case. */
[[noreturn]] void
RunCase(int aCount, char** aArguments, const CaseFunction& aCase);

} // namespace fireflytrail::review
