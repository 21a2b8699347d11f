#include "core/StopSignals.h"

#include <csignal>
#include <initializer_list>

namespace fireflytrail::core {

namespace {

sigset_t
HeldSignals()
{
  sigset_t signals{};
  sigemptyset(&signals);
  sigaddset(&signals, SIGHUP);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

} // namespace

void
StopSignals::Hold()
{
  const sigset_t signals = HeldSignals();
  sigprocmask(SIG_BLOCK, &signals, nullptr);
}

void
StopSignals::Release()
{
  const sigset_t signals = HeldSignals();
  pthread_sigmask(SIG_UNBLOCK, &signals, nullptr);
}

int
StopSignals::PendingStop()
{
  sigset_t pending{};
  if (sigpending(&pending) != 0) {
    return 0;
  }
  for (const int signal : { SIGTERM, SIGINT }) {
    if (sigismember(&pending, signal) == 1) {
      return signal;
    }
  }
  return 0;
}

} // namespace fireflytrail::core
