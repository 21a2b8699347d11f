#include "core/CrashReport.h"

#include "core/SignalName.h"

#include <array>
#include <csignal>
#include <cstddef>
#include <string_view>

#include <execinfo.h>
#include <unistd.h>

namespace fireflytrail::core {

namespace {

constexpr int kMaxFrames = 64;
constexpr std::size_t kStackBytes = 64UL * 1024;

void
WriteText(std::string_view aText)
{
  // Nothing can be done about a failure while the process crashes.
  [[maybe_unused]] const ssize_t written =
    write(STDERR_FILENO, aText.data(), aText.size());
}

// Only functions that are safe in a signal handler. The signal's default
// action has been restored and takes effect when the handler returns, since the
// signal is raised again.
void
OnFatalSignal(int aSignal)
{
  WriteText(R"({"level":"error","event":"fatal_signal","signal":")");
  WriteText(SignalName(aSignal));
  WriteText("\"}\n");
  std::array<void*, kMaxFrames> frames{};
  const int count = backtrace(frames.data(), kMaxFrames);
  backtrace_symbols_fd(frames.data(), count, STDERR_FILENO);
  raise(aSignal);
}

} // namespace

void
CrashReport::Install()
{
  // The first call of `backtrace` may allocate memory.
  std::array<void*, 1> frame{};
  backtrace(frame.data(), 1);
  static std::array<std::byte, kStackBytes> stackMemory;
  stack_t stack{};
  stack.ss_sp = stackMemory.data();
  stack.ss_size = stackMemory.size();
  sigaltstack(&stack, nullptr);
  struct sigaction action
  {};
  action.sa_handler = OnFatalSignal;
  action.sa_flags = static_cast<int>(SA_ONSTACK | SA_RESETHAND);
  sigemptyset(&action.sa_mask);
  for (const int signal : { SIGSEGV, SIGABRT, SIGBUS, SIGILL, SIGFPE }) {
    sigaction(signal, &action, nullptr);
  }
}

} // namespace fireflytrail::core
