/**
 * Measures the time of one routing decision (admission, selection, acquisition
 * and release) for several numbers of servers and counts its memory
 * allocations. Fails if a decision allocates memory.
 */

#include "routing/AdmissionControl.h"
#include "routing/RoutingTableBuilder.h"
#include "routing/ServerSelector.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <array>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <new>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

DEFINE_uint64(seed, 1, "seed of the random numbers");
DEFINE_uint32(decisions, 200000, "decisions measured in each round");
DEFINE_uint32(rounds, 5, "rounds; the fastest one is printed");

namespace {

std::uint64_t allocations = 0;

} // namespace

void*
operator new(std::size_t aSize)
{
  ++allocations;
  if (void* memory = std::malloc(aSize)) {
    return memory;
  }
  throw std::bad_alloc();
}

void
operator delete(void* aMemory) noexcept
{
  std::free(aMemory);
}

void
operator delete(void* aMemory, std::size_t /*aSize*/) noexcept
{
  std::free(aMemory);
}

namespace {

using namespace fireflytrail;
using namespace fireflytrail::routing;

struct Measured
{
  double nanoseconds = 0;
  std::uint64_t allocations = 0;
};

/** State of the servers that the decision depends on. */
enum class Situation : std::uint8_t
{
  /** This daemon's home slots are free. */
  Free,
  /** This daemon's home slots are busy, so that it borrows slots of others. */
  Borrowing,
  /** One server is warming up with a limit of one call. */
  Ramping,
};

Measured
Measure(std::string_view aPolicy, unsigned aServers, Situation aSituation)
{
  std::mt19937_64 engine(FLAGS_seed);
  RoutingTableBuilder builder("entry-0");
  builder.Begin(1);
  RoutingTableBuilder::Service definition;
  definition.name = "till-sales";
  definition.slots = 4;
  definition.versionShares = { { "1", 1.0 } };
  builder.AddService(definition);
  std::vector<std::string> hosts;
  for (unsigned host = 0; host < 19; ++host) {
    hosts.push_back(fmt::format("entry-{}", host));
  }
  builder.SetEntryHosts(hosts);
  for (unsigned server = 0; server < aServers; ++server) {
    builder.AddServer({ .id = fmt::format("till-{:03}", server),
                        .service = "till-sales",
                        .version = "1",
                        .address = "127.0.0.1:1",
                        .failureDomain = "akl-a" });
  }
  const auto table = builder.Build();
  const ServiceRoute& service = *table->Find("till-sales");
  const core::RandomFunction random = [&] { return engine(); };
  auto selector =
    ServerSelector::Make(
      aPolicy, [] { return std::chrono::steady_clock::now(); }, random)
      .value();
  const AdmissionControl admission(random);

  service.load->SetTypicalServiceTime(std::chrono::milliseconds(10));
  std::vector<Selection> held;
  if (aSituation == Situation::Borrowing) {
    const VersionRoute& version = service.versions[0];
    const auto now = std::chrono::steady_clock::now();
    for (const std::uint32_t index : version.homeServers) {
      const ServerRoute& server = version.servers[index];
      for (std::uint32_t slot = 0; slot < server.homeSlots; ++slot) {
        held.emplace_back(
          server.load, service.load, *server.load->TryAcquire(now));
      }
    }
  } else if (aSituation == Situation::Ramping) {
    service.versions[0].servers.back().load->SetLimit(1);
    service.load->SetRamping(true);
  }

  const auto decide = [&] {
    if (admission.Admit(service, Priority::Normal) != core::ErrorKind::None) {
      return;
    }
    auto selection = selector.Select(service);
    if (selection) {
      selection->Release(SelectionOutcome::Answered,
                         std::chrono::milliseconds(10),
                         std::chrono::steady_clock::now());
    }
  };
  Measured measured;
  for (unsigned round = 0; round < FLAGS_rounds; ++round) {
    const std::uint64_t before = allocations;
    const auto start = std::chrono::steady_clock::now();
    for (unsigned decision = 0; decision < FLAGS_decisions; ++decision) {
      decide();
    }
    const std::chrono::duration<double, std::nano> elapsed =
      std::chrono::steady_clock::now() - start;
    measured.allocations += allocations - before;
    const double perDecision = elapsed.count() / FLAGS_decisions;
    if (round == 0 || perDecision < measured.nanoseconds) {
      measured.nanoseconds = perDecision;
    }
  }
  return measured;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  constexpr std::array kServerCounts{ 6U, 20U, 60U, 120U, 240U, 470U };
  fmt::print("nanoseconds per decision including its release, seed {}\n{:<26}",
             FLAGS_seed,
             "servers");
  for (const unsigned servers : kServerCounts) {
    fmt::print(" {:>7}", servers);
  }
  fmt::print(" {:>12}\n", "allocations");
  std::uint64_t total = 0;
  const auto print = [&](const std::string& aName,
                         std::string_view aPolicy,
                         Situation aSituation) {
    fmt::print("{:<26}", aName);
    std::uint64_t sum = 0;
    for (const unsigned servers : kServerCounts) {
      const Measured measured = Measure(aPolicy, servers, aSituation);
      fmt::print(" {:>7.0f}", measured.nanoseconds);
      sum += measured.allocations;
    }
    fmt::print(" {:>12}\n", sum);
    total += sum;
  };
  print("home_slots, free", "home_slots", Situation::Free);
  print("home_slots, borrowing", "home_slots", Situation::Borrowing);
  print("home_slots, ramping", "home_slots", Situation::Ramping);
  for (const std::string_view policy : ServerSelector::PolicyNames()) {
    if (policy != ServerSelector::kDefaultPolicy) {
      print(std::string(policy), policy, Situation::Free);
    }
  }
  return total == 0 ? 0 : 1;
}
