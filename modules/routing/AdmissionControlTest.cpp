#include "routing/AdmissionControl.h"

#include "routing/RoutingTableBuilder.h"

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <random>

using namespace fireflytrail;
using namespace fireflytrail::routing;

namespace {

/** Returns a table of three services: `till-sales` depends on
 * `transfer-ledger`, which depends on `drawer-index`. */
std::shared_ptr<const RoutingTable>
MakeTable(bool aLastHasServer)
{
  RoutingTableBuilder builder("entry-0");
  builder.Begin(1);
  const auto add = [&](std::string aName, std::vector<std::string> aDependsOn) {
    RoutingTableBuilder::Service service;
    service.name = aName;
    service.dependsOn = std::move(aDependsOn);
    service.slots = 4;
    service.versionShares = { { "1", 1.0 } };
    builder.AddService(service);
  };
  add("till-sales", { "transfer-ledger" });
  add("transfer-ledger", { "drawer-index" });
  add("drawer-index", {});
  const auto addServer = [&](std::string aService) {
    builder.AddServer({ .id = aService + "-1",
                        .service = aService,
                        .version = "1",
                        .address = "127.0.0.1:1",
                        .failureDomain = "akl-a" });
  };
  addServer("till-sales");
  addServer("transfer-ledger");
  if (aLastHasServer) {
    addServer("drawer-index");
  }
  return builder.Build();
}

} // namespace

// Guards against shedding calls of one priority while calls of a lower priority
// are still admitted, and against any shedding at level 0.
BOOST_AUTO_TEST_CASE(AdmissionShedsLeastImportantCallsFirst)
{
  const auto table = MakeTable(true);
  const ServiceRoute& service = *table->Find("till-sales");
  std::mt19937_64 engine(1);
  const AdmissionControl admission([&] { return engine(); });
  const auto shedOf = [&](Priority aPriority) {
    int shed = 0;
    for (int call = 0; call < 1000; ++call) {
      shed += admission.Admit(service, aPriority) == core::ErrorKind::Overloaded
                ? 1
                : 0;
    }
    return shed;
  };
  for (const double level : { 0.0, 0.5, 1.0, 1.5, 2.0, 2.5, 3.0 }) {
    service.load->SetShedLevel(level);
    const int low = shedOf(Priority::Low);
    const int normal = shedOf(Priority::Normal);
    const int urgent = shedOf(Priority::Urgent);
    BOOST_TEST((normal == 0 || low == 1000));
    BOOST_TEST((urgent == 0 || normal == 1000));
    BOOST_TEST(std::abs(low + normal + urgent - 1000 * level) < 100);
  }
}

// Guards against refusing urgent calls because of the in-flight bound. The
// bound limits the other calls only, to reserve capacity for urgent ones.
BOOST_AUTO_TEST_CASE(AdmissionBoundsAllButUrgentCalls)
{
  const auto table = MakeTable(true);
  const ServiceRoute& service = *table->Find("till-sales");
  const AdmissionControl admission([] { return 0; });
  const auto admits = [&](Priority aPriority) {
    return admission.Admit(service, aPriority) == core::ErrorKind::None;
  };
  service.load->SetBound(2);
  service.load->AddInFlight(1);
  BOOST_TEST(admits(Priority::Low));
  service.load->AddInFlight(1);
  BOOST_TEST(!admits(Priority::Normal));
  BOOST_TEST(admits(Priority::Urgent));
  BOOST_CHECK_CLOSE(service.load->ReadAndResetBoundHitRatio(), 0.5, 1e-9);
  BOOST_TEST(service.load->ReadAndResetBoundHitRatio() == 0);
}

// Guards against admitting a call that does part of its work and then fails
// because an indirect dependency has no usable server.
BOOST_AUTO_TEST_CASE(AdmissionRefusesWhenADependencyCannotServe)
{
  const AdmissionControl admission([] { return 0; });
  const auto table = MakeTable(false);
  BOOST_TEST((admission.Admit(*table->Find("till-sales"), Priority::Urgent) ==
              core::ErrorKind::DependencyUnavailable));
  const auto complete = MakeTable(true);
  BOOST_TEST((admission.Admit(*complete->Find("till-sales"),
                              Priority::Urgent) == core::ErrorKind::None));
  complete->Find("drawer-index")->load->SetCanServe(false);
  BOOST_TEST(
    (admission.Admit(*complete->Find("till-sales"), Priority::Urgent) ==
     core::ErrorKind::DependencyUnavailable));
}
