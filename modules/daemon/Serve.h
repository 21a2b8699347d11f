#pragma once

namespace fireflytrail::configuration {
struct DaemonSettings;
}

namespace fireflytrail::core {
class Log;
}

namespace fireflytrail::daemon {

/**
 * Runs an entry daemon until SIGTERM or SIGINT and returns the exit code of
 * the process: 0 after a graceful stop, 1 if it could not start. Call once, on
 * the main thread, which becomes the control thread.
 */
int
Serve(const configuration::DaemonSettings& aSettings, const core::Log& aLog);

} // namespace fireflytrail::daemon
