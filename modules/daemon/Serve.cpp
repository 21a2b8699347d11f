#include "daemon/Serve.h"

#include "daemon/Controller.h"

namespace fireflytrail::daemon {

int
Serve(const configuration::DaemonSettings& aSettings, const core::Log& aLog)
{
  Controller controller(aSettings, aLog);
  if (!controller.Open()) {
    return 1;
  }
  controller.StopOnSignals();
  controller.Run();
  return 0;
}

} // namespace fireflytrail::daemon
