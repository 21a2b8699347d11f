// One instance spoils a few of its answers: a head with a field of 64 KiB.

#include "../standins-2/Caller.h"
#include "../standins-2/CaseMain.h"
#include "../standins-2/Connection.h"
#include "../standins-2/Deployment.h"
#include "../standins-2/DesiredState.h"
#include "../standins-2/Recorder.h"

#include <atomic>
#include <list>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

using namespace fireflytrail::review;
using namespace std::chrono_literals;

namespace {

constexpr auto kTime = 30s;
constexpr int kOrdersPerDaemon = 4;
// The site file's dose of `garble`: one answer in fifty of the instance.
constexpr unsigned kAnswersPerSpoiled = 50;
constexpr std::size_t kFieldBytes = 65'536;
// LOST is broken by more requests than this.
constexpr std::size_t kAllowedLost = 3;

int
Judge(Deployment& aDeployment, Recorder& aRecorder, bool aHasTrouble)
{
  std::atomic<unsigned> answers = 0;
  std::atomic<unsigned> spoiled = 0;
  for (int index = 0; index < 4; ++index) {
    aDeployment.AddServer("order-" + std::to_string(index), "orders");
    BackendServer::Spoiler spoiler;
    if (aHasTrouble && index == 0) {
      spoiler = [&](Connection& aConnection, const HttpMessage&) {
        if (++answers % kAnswersPerSpoiled != 0) {
          return false;
        }
        ++spoiled;
        aRecorder.Write("instance lookup-0 spoils its answer");
        aConnection.Write("HTTP/1.1 200 OK\r\nX-Note: " +
                          std::string(kFieldBytes, 'a') + "\r\n\r\n");
        return true;
      };
    }
    aDeployment.AddServer(
      "lookup-" + std::to_string(index), "lookups", std::move(spoiler));
  }
  aDeployment.store.Put(
    "config",
    "main",
    MakeDesiredState(
      7,
      { { "/orders/", "orders" }, { "/lookups/", "lookups", true, 2000, 600 } },
      { "orders", "lookups" }));
  for (const char* name : { "edge-1", "edge-2", "edge-3" }) {
    aDeployment.AddDaemon(name);
  }
  if (!aDeployment.WaitUntilInTouch()) {
    return 2;
  }
  std::atomic<bool> isOver = false;
  std::atomic<std::size_t> served = 0;
  std::mutex mutex;
  std::vector<Caller::Outcome> closed;
  std::list<std::thread> threads;
  for (const EntryDaemon& daemon : aDeployment.daemons) {
    const std::uint16_t port = daemon.Port();
    threads.emplace_back([&, port] {
      Caller caller(aRecorder);
      bool isConnected = caller.Connect(port);
      while (!isOver) {
        const auto outcome = caller.Send("GET", "/lookups/20", 4s);
        isConnected = outcome.status != 0;
        std::this_thread::sleep_for(20ms);
        while (!isConnected && !isOver) {
          std::this_thread::sleep_for(100ms);
          isConnected = caller.Connect(port);
        }
      }
    });
    for (int index = 0; index < kOrdersPerDaemon; ++index) {
      threads.emplace_back([&, port] {
        Caller caller(aRecorder);
        bool isKept = false;
        caller.Connect(port);
        while (!isOver) {
          const auto outcome = caller.Send("POST", "/orders/250", 5s);
          served += outcome.status == 200 ? 1 : 0;
          if (outcome.isClosed && isKept) {
            const std::lock_guard lock(mutex);
            closed.push_back(outcome);
          }
          isKept = outcome.status != 0;
          if (!isKept) {
            std::this_thread::sleep_for(100ms);
            caller.Connect(port);
          }
          std::this_thread::sleep_for(100ms);
        }
      });
    }
  }
  aDeployment.Supervise(kTime);
  isOver = true;
  for (std::thread& thread : threads) {
    thread.join();
  }
  std::size_t lost = 0;
  for (const Caller::Outcome& outcome : closed) {
    if (aDeployment.HasRun(outcome.id)) {
      ++lost;
      aRecorder.Write("LOST: " + outcome.id +
                      " ran at a sound instance and was never answered");
    }
  }
  for (const EntryDaemon& daemon : aDeployment.daemons) {
    aRecorder.Write("daemon " + daemon.Name() + " ended by itself " +
                    std::to_string(aDeployment.OwnEnds(daemon)) + " times");
  }
  aRecorder.Write("orders served: " + std::to_string(served) +
                  "; answers of lookup-0: " + std::to_string(answers) +
                  ", spoiled: " + std::to_string(spoiled));
  if (served == 0 || (aHasTrouble && spoiled == 0)) {
    return 2;
  }
  const bool isBroken =
    lost > kAllowedLost || aDeployment.DaemonsWithThreeEnds() >= 2;
  aRecorder.Write("orders of kept connections that ran and were closed without "
                  "an answer: " +
                  std::to_string(lost) +
                  " (3 allowed): " + (isBroken ? "BROKEN" : "kept"));
  return isBroken ? 1 : 0;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  RunCase(aCount, aArguments, Judge);
}
