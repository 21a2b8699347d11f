// A daemon gets SIGTERM in calm. Requesters go on to use their connections for
// as long as its last answers allow.

#include "../standins-2/Caller.h"
#include "../standins-2/CaseMain.h"
#include "../standins-2/Deployment.h"
#include "../standins-2/DesiredState.h"
#include "../standins-2/Recorder.h"

#include <csignal>
#include <list>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

using namespace fireflytrail::review;
using namespace std::chrono_literals;

namespace {

constexpr int kCallers = 8;
// The last answers before the SIGTERM allow 4 s ("Keep-Alive: timeout=4").
constexpr auto kPause = 3800ms;
// Requests sent no later than this after the SIGTERM may be excused.
constexpr auto kExcused = 3000ms;
constexpr auto kRouteTimeout = 2500ms;
// Within the route's timeout, and below the longest work of the site's
// lot-transfer, 2,100 ms.
constexpr const char* kTarget = "/orders/1900";

int
Judge(Deployment& aDeployment, Recorder& aRecorder, bool aHasTrouble)
{
  for (int index = 0; index < 4; ++index) {
    aDeployment.AddServer("i-" + std::to_string(index), "orders");
  }
  aDeployment.store.Put(
    "config",
    "main",
    MakeDesiredState(7, { { "/orders/", "orders" } }, { "orders" }));
  EntryDaemon& stopped = aDeployment.AddDaemon("edge-1");
  aDeployment.AddDaemon("edge-2");
  if (!aDeployment.WaitUntilInTouch()) {
    return 2;
  }
  std::list<Caller> callers;
  for (int index = 0; index < kCallers; ++index) {
    Caller& caller = callers.emplace_back(aRecorder);
    if (!caller.Connect(stopped.Port()) ||
        caller.Send("POST", "/orders/10", 5s).status != 200) {
      return 2;
    }
  }
  if (aHasTrouble) {
    stopped.Signal(SIGTERM);
    aRecorder.Write("daemon edge-1 gets SIGTERM");
  }
  const auto stoppedAt = aRecorder.Elapsed();
  std::this_thread::sleep_for(kPause);
  std::mutex mutex;
  std::size_t broken = 0;
  std::size_t answered = 0;
  std::list<std::thread> threads;
  for (Caller& caller : callers) {
    threads.emplace_back([&] {
      const auto sentAt = aRecorder.Elapsed();
      const auto outcome = caller.Send("POST", kTarget, 5s);
      const auto duration = aRecorder.Elapsed() - sentAt;
      const std::lock_guard lock(mutex);
      answered += outcome.status != 0 ? 1 : 0;
      const bool isOwnEnd = !outcome.isSigned;
      if (isOwnEnd && sentAt - stoppedAt > kExcused &&
          duration < kRouteTimeout && aDeployment.HasRun(outcome.id)) {
        ++broken;
        aRecorder.Write("LOST: " + outcome.id + " was broken off after " +
                        std::to_string(duration.count()) +
                        " ms, while its instance was at work");
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  // Until the process has ended, and the instances have noticed.
  std::this_thread::sleep_for(1s);
  if (answered == 0) {
    return 2;
  }
  aRecorder.Write("requests broken off: " + std::to_string(broken) +
                  " (none allowed): " + (broken > 0 ? "BROKEN" : "kept"));
  return broken > 0 ? 1 : 0;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  RunCase(aCount, aArguments, Judge);
}
