#include "daemon/Serve.h"

#include "daemon/Controller.h"

namespace fireflytrail::daemon {

int
Serve(const configuration::DaemonSettings& aSettings, const core::Log& aLog)
{
  Controller controller(aSettings, aLog);
  return controller.Run() ? 0 : 1;
}

} // namespace fireflytrail::daemon
