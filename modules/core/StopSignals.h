#pragma once

namespace fireflytrail::core {

/**
 * Holds back SIGHUP, SIGTERM and SIGINT during the start of a process, whose
 * default action would end it. Signals that arrive meanwhile are delivered when
 * they are released.
 */
class StopSignals
{
public:
  StopSignals() = delete;

  /** Holds the signals back for the calling thread and those that it creates.
   * Call while the process has one thread. */
  static void Hold();

  /** Delivers held signals, and later ones at once, on the calling thread. */
  static void Release();

  /** Returns the signal, SIGTERM or SIGINT, that has arrived while held and
   * requests a stop; 0 if there is none. */
  static int PendingStop();
};

} // namespace fireflytrail::core
