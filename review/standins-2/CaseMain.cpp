#include "CaseMain.h"

#include "Deployment.h"
#include "Recorder.h"

#include <cstdlib>
#include <string_view>

namespace fireflytrail::review {

void
RunCase(int aCount, char** aArguments, const CaseFunction& aCase)
{
  if (aCount != 2) {
    std::_Exit(2);
  }
  const char* const setting = std::getenv("TROUBLE");
  const bool hasTrouble =
    setting == nullptr || std::string_view(setting) != "0";
  // The threads of the stand-ins use both until the process ends.
  auto* const recorder = new Recorder(aArguments[1]);
  auto* const deployment = new Deployment(*recorder);
  const int result = aCase(*deployment, *recorder, hasTrouble);
  deployment->End();
  std::_Exit(result);
}

} // namespace fireflytrail::review
