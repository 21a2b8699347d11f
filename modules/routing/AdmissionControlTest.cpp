#include "routing/AdmissionControl.h"

#include "routing/RoutingTableBuilder.h"

#include <boost/test/unit_test.hpp>

using namespace fireflytrail;
using namespace fireflytrail::routing;

namespace {

/** Two services of which the first depends on the second by way of a third. */
std::shared_ptr<const RoutingTable>
TableWith(bool aLastHasServer)
{
  RoutingTableBuilder builder("entry-0");
  builder.Begin(1);
  const auto add = [&](std::string aName, std::vector<std::string> aDepends) {
    RoutingTableBuilder::Service service;
    service.name = aName;
    service.dependsOn = std::move(aDepends);
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

// Guards against urgent calls being refused before less important ones, and
// against any refusal while the fleet has free slots.
BOOST_AUTO_TEST_CASE(AdmissionRefusesLeastImportantCallsFirst)
{
  const auto table = TableWith(true);
  const ServiceRoute& service = *table->Find("till-sales");
  const AdmissionControl admission(1);
  const auto admits = [&](Priority aPriority) {
    return admission.Admit(service, aPriority) == core::ErrorKind::None;
  };
  service.load->AddInFlight(100);
  service.load->SetUtilization(0.5);
  BOOST_TEST(admits(Priority::Low));

  service.load->AddInFlight(-100);
  service.load->SetUtilization(1.5);
  int refusedFrom[3] = { -1, -1, -1 };
  for (int calls = 0; calls < 20; ++calls) {
    for (const Priority priority :
         { Priority::Urgent, Priority::Normal, Priority::Low }) {
      int& from = refusedFrom[static_cast<int>(priority)];
      if (!admits(priority) && from < 0) {
        from = calls;
      }
    }
    service.load->AddInFlight(1);
  }
  BOOST_TEST(refusedFrom[2] > 0);
  BOOST_TEST(refusedFrom[1] > refusedFrom[2]);
  BOOST_TEST(refusedFrom[0] > refusedFrom[1]);
}

// Guards against a call that does part of its work before a service further
// down cannot serve.
BOOST_AUTO_TEST_CASE(AdmissionRefusesWhenADependencyCannotServe)
{
  const AdmissionControl admission(1);
  const auto table = TableWith(false);
  BOOST_TEST((admission.Admit(*table->Find("till-sales"), Priority::Urgent) ==
              core::ErrorKind::DependencyUnavailable));
  const auto whole = TableWith(true);
  BOOST_TEST((admission.Admit(*whole->Find("till-sales"), Priority::Urgent) ==
              core::ErrorKind::None));
  whole->Find("drawer-index")->load->SetCanServe(false);
  BOOST_TEST((admission.Admit(*whole->Find("till-sales"), Priority::Urgent) ==
              core::ErrorKind::DependencyUnavailable));
}
