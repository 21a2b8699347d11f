#pragma once

#include "bench/EventQueue.h"
#include "bench/SimulatedServer.h"
#include "routing/AdmissionControl.h"
#include "routing/HealthMonitor.h"
#include "routing/RoutingTableBuilder.h"
#include "routing/ServerSelector.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace fireflytrail::bench {

/**
 * Entry daemons with the real routing code and simulated servers under one
 * virtual clock. Calls arrive as a Poisson process at each daemon; a call that
 * a server refused or that could not connect is retried once, if the retry
 * tokens of the daemon permit it.
 */
class SimulatedFleet
{
public:
  struct Settings
  {
    std::string policy = std::string(routing::ServerSelector::kDefaultPolicy);
    unsigned daemons = 19;
    unsigned servers = 20;
    /** Offered load as a share of the capacity of all slots. */
    double load = 0.7;
    bool health = true;
    bool admission = true;
    std::uint64_t seed = 1;
    SimulatedServer::Settings server;
  };

  struct Figures
  {
    /** Latencies of completed calls in ms, by priority. */
    std::array<std::vector<double>, 3> times;
    std::array<std::uint64_t, 3> offered{};
    /** Calls answered with the outcome "not run", by priority. */
    std::array<std::uint64_t, 3> refused{};
    /** Calls that failed, were lost or have an unknown outcome. */
    std::uint64_t failed = 0;
    /** Times from arrival to refusal in ms. */
    std::vector<double> refusalTimes;
    std::uint64_t retries = 0;
    /** Health observations sent, counted once for each receiving daemon. */
    std::uint64_t messages = 0;
    /** Longest time that the load stayed unbalanced; see SampleImbalance(). */
    std::chrono::nanoseconds longestImbalance{ 0 };
  };

  explicit SimulatedFleet(Settings aSettings)
    : settings(std::move(aSettings))
    , engine(this->settings.seed)
  {
    for (unsigned index = 0; index < this->settings.daemons; ++index) {
      this->daemonNames.push_back(fmt::format("entry-{}", index));
    }
    for (unsigned index = 0; index < this->settings.servers; ++index) {
      this->servers.push_back(std::make_unique<SimulatedServer>(
        this->queue, this->settings.server, this->engine()));
      this->identities.push_back({ .id = fmt::format("till-{:02}", index),
                                   .service = "till-sales",
                                   .version = "1",
                                   .address = "127.0.0.1:1",
                                   .failureDomain = "akl-a" });
      this->byId[this->identities.back().id] = this->servers.back().get();
    }
    for (const std::string& name : this->daemonNames) {
      this->daemons.push_back(std::make_unique<Daemon>(*this, name));
    }
    for (unsigned index = 0; index < this->settings.servers; ++index) {
      this->servers[index]->onReset = [this, index] {
        this->queue.ScheduleAfter(kOneWayDelay, [this, index] {
          for (auto& daemon : this->daemons) {
            if (auto* health =
                  daemon->monitor->Find(this->identities[index].id)) {
              health->OnConnectionsReset();
            }
          }
        });
      };
    }
    for (auto& daemon : this->daemons) {
      this->ScheduleArrival(*daemon);
      if (this->settings.health) {
        this->ScheduleTick(*daemon);
      }
    }
    this->SampleImbalance();
  }

  SimulatedFleet(const SimulatedFleet&) = delete;
  SimulatedFleet& operator=(const SimulatedFleet&) = delete;

  /** Advances the virtual clock by `aDuration`. */
  void Run(std::chrono::nanoseconds aDuration)
  {
    this->queue.RunUntil(this->queue.Now() + aDuration);
  }

  /** Discards the figures measured so far and starts a new measurement. */
  void StartMeasurement()
  {
    this->figures = {};
    this->measuredSince = this->queue.Now();
  }

  SimulatedServer& Server(unsigned aIndex) { return *this->servers[aIndex]; }

  /** Marks a server as leaving in the host list. Each daemon receives the
   * update after a random lag of less than `aMaxLag`. */
  void MarkLeaving(unsigned aServer, std::chrono::nanoseconds aMaxLag)
  {
    for (auto& daemon : this->daemons) {
      const auto lag = std::chrono::nanoseconds(static_cast<std::int64_t>(
        this->engine() % static_cast<std::uint64_t>(aMaxLag.count())));
      this->queue.ScheduleAfter(lag, [this, &daemon, aServer] {
        if (auto* health =
              daemon->monitor->Find(this->identities[aServer].id)) {
          health->SetHostListState(true, true);
        }
      });
    }
  }

  /** Returns the sum over all daemons of the calls that they count as in flight
   * on a server. */
  std::uint32_t CountedInFlight(unsigned aServer) const
  {
    std::uint32_t sum = 0;
    for (const auto& daemon : this->daemons) {
      sum += daemon->builder.LoadOf(this->identities[aServer].id)->InFlight();
    }
    return sum;
  }

  /** Returns the number of daemons whose health monitor has a server in a
   * state. */
  unsigned DaemonsSeeing(unsigned aServer, routing::ServerState aState) const
  {
    unsigned count = 0;
    for (const auto& daemon : this->daemons) {
      const auto* health = daemon->monitor->Find(this->identities[aServer].id);
      count += health != nullptr && health->State() == aState ? 1 : 0;
    }
    return count;
  }

  const Figures& MeasuredFigures() const { return this->figures; }
  core::TimePoint Now() const { return this->queue.Now(); }

  /** Returns the calls a second that the servers complete with all slots
   * busy. */
  double CapacityPerSecond() const
  {
    return this->settings.servers * this->settings.server.slots /
           std::chrono::duration<double>(this->settings.server.serviceTime)
             .count();
  }

  std::chrono::duration<double> MeasuredTime() const
  {
    return this->queue.Now() - this->measuredSince;
  }

private:
  static constexpr std::chrono::microseconds kOneWayDelay{ 500 };

  struct Daemon
  {
    Daemon(SimulatedFleet& aFleet, const std::string& aName)
      : builder(aName)
      , engine(aFleet.engine())
      , admission([this] { return this->engine(); })
    {
      const auto now = [&aFleet] { return aFleet.queue.Now(); };
      this->selector.emplace(
        routing::ServerSelector::Make(aFleet.settings.policy, now, [this] {
          return this->engine();
        }).value());
      this->monitor.emplace(
        aName,
        now,
        [&aFleet, aName](const routing::HealthObservation& aObservation) {
          aFleet.Publish(aName, aObservation);
        });
      this->builder.Begin(1);
      routing::RoutingTableBuilder::Service service;
      service.name = "till-sales";
      service.slots = aFleet.settings.server.slots;
      service.versionShares = { { "1", 1.0 } };
      this->builder.AddService(std::move(service));
      this->builder.SetEntryHosts(aFleet.daemonNames);
      for (const auto& identity : aFleet.identities) {
        this->builder.AddServer(identity);
      }
      this->table = this->builder.Build();
      this->monitor->SetHosts("till-sales", aFleet.daemonNames);
      if (aFleet.settings.health) {
        this->monitor->SetServers(this->builder, *this->table);
      }
    }

    routing::RoutingTableBuilder builder;
    std::mt19937_64 engine;
    routing::AdmissionControl admission;
    std::optional<routing::ServerSelector> selector;
    std::optional<routing::HealthMonitor> monitor;
    std::shared_ptr<const routing::RoutingTable> table;
    /** Token bucket for retries: each call adds 0.1 tokens, a retry takes 1. */
    double retryTokens = 10;
  };

  struct Call
  {
    Daemon* daemon;
    routing::Priority priority;
    core::TimePoint arrived;
    bool retried = false;
    std::vector<const routing::ServerLoad*> tried;
  };

  void Publish(const std::string& aFrom,
               const routing::HealthObservation& aObservation)
  {
    for (std::size_t index = 0; index < this->daemons.size(); ++index) {
      if (this->daemonNames[index] == aFrom) {
        continue;
      }
      ++this->figures.messages;
      // Delay of urgent gossip, which is pushed to a few peers and forwarded by
      // them.
      const auto delay =
        std::chrono::microseconds(1000 + this->engine() % 19000);
      this->queue.ScheduleAfter(delay, [this, index, aFrom, aObservation] {
        this->daemons[index]->monitor->OnPeerObservation(aFrom, aObservation);
      });
    }
  }

  void ScheduleTick(Daemon& aDaemon)
  {
    const auto phase = std::chrono::microseconds(this->engine() % 10000);
    this->queue.ScheduleAfter(phase, [this, &aDaemon] { this->Tick(aDaemon); });
  }

  void Tick(Daemon& aDaemon)
  {
    aDaemon.monitor->Tick();
    this->queue.ScheduleAfter(routing::ServerHealth::kTickInterval,
                              [this, &aDaemon] { this->Tick(aDaemon); });
  }

  void ScheduleArrival(Daemon& aDaemon)
  {
    const double rate =
      this->CapacityPerSecond() * this->settings.load / this->settings.daemons;
    std::exponential_distribution<double> gap(rate);
    this->queue.ScheduleAfter(
      std::chrono::duration_cast<std::chrono::nanoseconds>(
        std::chrono::duration<double>(gap(aDaemon.engine))),
      [this, &aDaemon] {
        this->ScheduleArrival(aDaemon);
        this->HandleArrival(aDaemon);
      });
  }

  void HandleArrival(Daemon& aDaemon)
  {
    // 20 % urgent, 50 % normal, 30 % low.
    const auto draw = aDaemon.engine() % 10;
    const auto priority = draw < 2   ? routing::Priority::Urgent
                          : draw < 7 ? routing::Priority::Normal
                                     : routing::Priority::Low;
    auto call = std::make_shared<Call>(
      Call{ &aDaemon, priority, this->queue.Now(), false, {} });
    ++this->figures.offered[static_cast<std::size_t>(priority)];
    aDaemon.retryTokens = std::min(aDaemon.retryTokens + 0.1, 100.0);
    const auto& service = *aDaemon.table->Find("till-sales");
    if (this->settings.admission &&
        aDaemon.admission.Admit(service, priority) != core::ErrorKind::None) {
      this->Refuse(*call);
      return;
    }
    this->Send(call);
  }

  void Send(const std::shared_ptr<Call>& aCall)
  {
    Daemon& daemon = *aCall->daemon;
    auto selected =
      daemon.selector->Select(*daemon.table->Find("till-sales"), aCall->tried);
    if (!selected) {
      this->Refuse(*aCall);
      return;
    }
    auto selection = std::make_shared<routing::Selection>(std::move(*selected));
    SimulatedServer& server = *this->byId.at(selection->Server().id);
    const core::TimePoint sent = this->queue.Now();
    this->queue.ScheduleAfter(
      kOneWayDelay, [this, aCall, selection, sent, &server] {
        server.Handle(
          [this, aCall, selection, sent](routing::SelectionOutcome aOutcome,
                                         const routing::LoadReport* aReport) {
            this->queue.ScheduleAfter(
              kOneWayDelay,
              [this,
               aCall,
               selection,
               sent,
               aOutcome,
               report =
                 aReport != nullptr ? std::optional(*aReport) : std::nullopt] {
                const core::TimePoint now = this->queue.Now();
                if (report) {
                  selection->RecordReport(*report, now);
                }
                const auto* load = selection->Load().get();
                selection->Release(aOutcome, now - sent, now);
                this->HandleOutcome(aCall, aOutcome, load);
              });
          });
      });
  }

  void HandleOutcome(const std::shared_ptr<Call>& aCall,
                     routing::SelectionOutcome aOutcome,
                     const routing::ServerLoad* aServer)
  {
    switch (aOutcome) {
      case routing::SelectionOutcome::Answered:
        this->figures.times[static_cast<std::size_t>(aCall->priority)]
          .push_back(this->MillisecondsSince(aCall->arrived));
        break;
      case routing::SelectionOutcome::Refused:
      case routing::SelectionOutcome::ConnectFailed:
        if (!aCall->retried && aCall->daemon->retryTokens >= 1) {
          aCall->daemon->retryTokens -= 1;
          aCall->retried = true;
          aCall->tried.push_back(aServer);
          ++this->figures.retries;
          this->Send(aCall);
        } else {
          this->Refuse(*aCall);
        }
        break;
      case routing::SelectionOutcome::Failed:
      case routing::SelectionOutcome::ConnectionLost:
      case routing::SelectionOutcome::Cancelled:
        ++this->figures.failed;
        break;
    }
  }

  void Refuse(const Call& aCall)
  {
    ++this->figures.refused[static_cast<std::size_t>(aCall.priority)];
    this->figures.refusalTimes.push_back(
      this->MillisecondsSince(aCall.arrived));
  }

  double MillisecondsSince(core::TimePoint aTime) const
  {
    return std::chrono::duration<double, std::milli>(this->queue.Now() - aTime)
      .count();
  }

  /** Measures by sampling how long a healthy server has more than twice the
   * mean load while some healthy server has free slots. */
  void SampleImbalance()
  {
    constexpr std::chrono::milliseconds kInterval{ 5 };
    double sum = 0;
    bool freeSlots = false;
    for (const auto& server : this->servers) {
      sum += server->InFlight();
      freeSlots =
        freeSlots ||
        (server->Healthy() && server->InFlight() < this->settings.server.slots);
    }
    const double mean = sum / static_cast<double>(this->servers.size());
    this->imbalance.resize(this->servers.size());
    for (std::size_t index = 0; index < this->servers.size(); ++index) {
      const auto& server = *this->servers[index];
      if (freeSlots && server.Healthy() && server.InFlight() > 2 * mean) {
        this->imbalance[index] += kInterval;
        this->figures.longestImbalance =
          std::max(this->figures.longestImbalance, this->imbalance[index]);
      } else {
        this->imbalance[index] = {};
      }
    }
    this->queue.ScheduleAfter(kInterval, [this] { this->SampleImbalance(); });
  }

  Settings settings;
  EventQueue queue;
  std::mt19937_64 engine;
  std::vector<std::string> daemonNames;
  std::vector<routing::ServerIdentity> identities;
  std::vector<std::unique_ptr<SimulatedServer>> servers;
  std::map<std::string, SimulatedServer*, std::less<>> byId;
  std::vector<std::unique_ptr<Daemon>> daemons;
  std::vector<std::chrono::nanoseconds> imbalance;
  Figures figures;
  core::TimePoint measuredSince{ std::chrono::seconds(1) };
};

} // namespace fireflytrail::bench
