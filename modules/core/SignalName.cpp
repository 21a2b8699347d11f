#include "core/SignalName.h"

#include <csignal>

namespace fireflytrail::core {

std::string_view
SignalName(int aSignal)
{
  switch (aSignal) {
    case SIGHUP:
      return "SIGHUP";
    case SIGTERM:
      return "SIGTERM";
    case SIGINT:
      return "SIGINT";
    case SIGSEGV:
      return "SIGSEGV";
    case SIGABRT:
      return "SIGABRT";
    case SIGBUS:
      return "SIGBUS";
    case SIGILL:
      return "SIGILL";
    case SIGFPE:
      return "SIGFPE";
    default:
      return "unknown";
  }
}

} // namespace fireflytrail::core
