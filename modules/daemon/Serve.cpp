#include "daemon/Serve.h"

#include "core/StopSignals.h"
#include "daemon/Controller.h"

namespace fireflytrail::daemon {

int
Serve(const configuration::DaemonSettings& aSettings, const core::Log& aLog)
{
  Controller controller(aSettings, aLog);
  if (!controller.Open()) {
    return core::StopSignals::PendingStop() == 0 ? 1 : 0;
  }
  controller.StopOnSignals();
  controller.Run();
  return 0;
}

} // namespace fireflytrail::daemon
