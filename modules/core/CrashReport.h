#pragma once

namespace fireflytrail::core {

/**
 * Reports a fatal signal of the process. SIGSEGV, SIGABRT, SIGBUS, SIGILL and
 * SIGFPE leave one JSON line and the stack of their thread on standard error,
 * and then have their default effect.
 */
class CrashReport
{
public:
  CrashReport() = delete;

  /**
   * Installs the handlers for the process, and an alternate stack for the
   * calling thread, so that an overflow of its stack is reported as well. Call
   * once, on the main thread.
   */
  static void Install();
};

} // namespace fireflytrail::core
