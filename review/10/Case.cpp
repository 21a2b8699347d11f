// The store comes back from a copy some seconds old. Later, in calm, a new
// desired state moves a route to another service.

#include "../standins-2/Caller.h"
#include "../standins-2/CaseMain.h"
#include "../standins-2/Deployment.h"
#include "../standins-2/DesiredState.h"
#include "../standins-2/Recorder.h"

#include <list>
#include <string>
#include <thread>

using namespace fireflytrail::review;
using namespace std::chrono_literals;

namespace {

// `ConfigApplyMs`, and the time after which the store counts as stable,
// `StabilityWindowMs`.
constexpr auto kConfigApply = 2000ms;
constexpr auto kStabilityWindow = 3000ms;
constexpr int kJoining = 3;
constexpr int kRequests = 10;

std::string
State(std::uint64_t aVersion, const std::string& aService, unsigned aTimeoutMs)
{
  return MakeDesiredState(aVersion,
                          { { "/orders/", aService, false, aTimeoutMs } },
                          { "orders-old", "orders-new" });
}

int
Judge(Deployment& aDeployment, Recorder& aRecorder, bool aHasTrouble)
{
  ObjectStore& store = aDeployment.store;
  for (int index = 0; index < 3; ++index) {
    aDeployment.AddServer("old-" + std::to_string(index), "orders-old");
    aDeployment.AddServer("new-" + std::to_string(index), "orders-new");
  }
  const auto put = [&](std::uint64_t aVersion,
                       const std::string& aService,
                       unsigned aTimeoutMs) {
    const auto revision =
      store.Put("config", "main", State(aVersion, aService, aTimeoutMs));
    aRecorder.Write("the store acknowledges desired state r" +
                    std::to_string(aVersion) + ": orders go to " + aService +
                    "; revision " + std::to_string(revision));
  };
  put(7, "orders-old", 2500);
  for (const char* name : { "edge-1", "edge-2", "edge-3" }) {
    aDeployment.AddDaemon(name);
  }
  if (!aDeployment.WaitUntilInTouch()) {
    return 2;
  }
  store.Copy();
  aRecorder.Write("the store is copied at revision " +
                  std::to_string(store.Revision()));
  // Instances join, and the operator changes the timeout of the route.
  std::list<BackendServer*> joined;
  for (int index = 0; index < kJoining; ++index) {
    joined.push_back(
      &aDeployment.AddServer("joined-" + std::to_string(index), "orders-old"));
  }
  const auto report = [&](std::chrono::milliseconds aWarmup) {
    for (const BackendServer* server : joined) {
      store.Put("servers", server->Id(), server->Entry("ready", aWarmup));
    }
  };
  for (std::uint64_t version = 8; version < 12; ++version) {
    report(3000ms - 750ms * (version - 8));
    put(version, "orders-old", 2500 - 10 * static_cast<unsigned>(version - 7));
    std::this_thread::sleep_for(750ms);
  }
  std::this_thread::sleep_for(500ms);
  if (aHasTrouble) {
    aRecorder.Write("the store goes away at revision " +
                    std::to_string(store.Revision()));
    store.GoAway();
    std::this_thread::sleep_for(1s);
    store.ReturnWithCopy();
    aRecorder.Write("the store is back at revision " +
                    std::to_string(store.Revision()));
    // What the operator and the instances wrote is written again.
    std::this_thread::sleep_for(300ms);
    put(11, "orders-old", 2460);
    report(0ms);
  }
  std::this_thread::sleep_for(kStabilityWindow + 2s);
  put(12, "orders-new", 2500);
  std::this_thread::sleep_for(kConfigApply + 500ms);
  std::size_t asOld = 0;
  std::size_t asNew = 0;
  for (int round = 0; round < kRequests; ++round) {
    for (const EntryDaemon& daemon : aDeployment.daemons) {
      Caller caller(aRecorder);
      caller.Connect(daemon.Port());
      const auto outcome = caller.Send("POST", "/orders/20", 5s);
      for (BackendServer& server : aDeployment.servers) {
        for (const BackendServer::Run& run : server.Runs()) {
          if (run.id == outcome.id) {
            ++(server.Id().starts_with("new-") ? asNew : asOld);
          }
        }
      }
    }
    std::this_thread::sleep_for(500ms);
  }
  aRecorder.Write(
    "requests sent later than 2 s after r12 was acknowledged: run by the new "
    "service " +
    std::to_string(asNew) + ", by the old one " + std::to_string(asOld) +
    " (none allowed): " + (asOld > 0 ? "BROKEN" : "kept"));
  if (asNew + asOld == 0) {
    return 2;
  }
  return asOld > 0 ? 1 : 0;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  RunCase(aCount, aArguments, Judge);
}
