#include "core/ErrorTable.h"
#include "scenario/Scenario.h"
#include "scenario/SimulatedSession.h"

#include <fmt/format.h>

#include <algorithm>
#include <stdexcept>

namespace fireflytrail::scenario {

namespace {

/** Reads the servers a step is about: `server`, `service` or `domain`. */
std::vector<SimulatedServer*>
ReadServers(World& aWorld, Fields& aFields)
{
  const std::string server = aFields.Text("server", "");
  const std::string service = aFields.Text("service", "");
  const std::string domain = aFields.Text("domain", "");
  std::vector<SimulatedServer*> servers;
  for (const auto& candidate : aWorld.servers) {
    if ((server.empty() || candidate->name == server) &&
        (service.empty() || candidate->service.name == service) &&
        (domain.empty() || candidate->domain == domain)) {
      servers.push_back(candidate.get());
    }
  }
  if (servers.empty()) {
    throw std::runtime_error("step is about no server");
  }
  return servers;
}

/** Reads the daemons a step is about: `daemons`, or all if it is missing. */
std::vector<SimulatedDaemon*>
ReadDaemons(World& aWorld, Fields& aFields, const std::string& aKey)
{
  std::vector<SimulatedDaemon*> daemons;
  for (const std::string& name : aFields.Texts(aKey)) {
    SimulatedDaemon* daemon = aWorld.DaemonOf(name);
    if (daemon == nullptr) {
      throw std::runtime_error("no such daemon: " + name);
    }
    daemons.push_back(daemon);
  }
  if (!aFields.Has(aKey)) {
    for (const auto& daemon : aWorld.daemons) {
      daemons.push_back(daemon.get());
    }
  }
  return daemons;
}

std::optional<core::ErrorKind>
ReadKind(Fields& aFields)
{
  const std::string name = aFields.Text("kind", "none");
  for (const core::ErrorRow& row : core::ErrorTable::Rows()) {
    if (row.name == name) {
      return row.kind == core::ErrorKind::None ? std::nullopt
                                               : std::optional(row.kind);
    }
  }
  throw std::runtime_error("no such kind: " + name);
}

/** Returns a reader of a step that changes each of its servers. */
template<typename Read>
StepReader
ForServers(Read aRead)
{
  return [aRead](World& aWorld, Fields& aFields) -> StepFunction {
    const auto servers = ReadServers(aWorld, aFields);
    const auto change = aRead(aFields);
    return [servers, change](World&) {
      std::ranges::for_each(
        servers, [&](SimulatedServer* aServer) { change(*aServer); });
    };
  };
}

/** Returns a reader of a step that changes each of its daemons. */
template<typename Read>
StepReader
ForDaemons(Read aRead)
{
  return [aRead](World& aWorld, Fields& aFields) -> StepFunction {
    const auto daemons = ReadDaemons(aWorld, aFields, "daemons");
    const auto change = aRead(aFields);
    return [daemons, change](World&) {
      std::ranges::for_each(
        daemons, [&](SimulatedDaemon* aDaemon) { change(*aDaemon); });
    };
  };
}

StepFunction
ReadStore(World&, Fields& aFields)
{
  const std::string state = aFields.Text("state");
  if (state != "up" && state != "down") {
    throw std::runtime_error("store: \"state\" is up or down");
  }
  const auto latency = aFields.Milliseconds("latency_ms", 2);
  const double loss = aFields.Number("answer_loss", 0);
  return [=](World& aWorld) {
    aWorld.storeIsUp = state == "up";
    aWorld.storeLatency = latency;
    aWorld.storeAnswerLoss = loss;
  };
}

/** One operator's conditional write, read back when its answer is lost. */
void
Write(World& aWorld, std::uint64_t aSeen, const SimulatedDesire& aDesire)
{
  aWorld.clock.After(aWorld.storeLatency, [&aWorld, aSeen, aDesire] {
    if (!aWorld.storeIsUp) {
      ++aWorld.record.writesFailed;
      return;
    }
    // A lost answer is read back by the writer's tag: the outcome recorded
    // here is the one that the operator learns in the end.
    if (aWorld.desire.version != aSeen) {
      ++aWorld.record.writeConflicts;
      return;
    }
    ++aWorld.record.writesAccepted;
    aWorld.desire = aDesire;
    aWorld.desire.version = aSeen + 1;
    aWorld.desires[aSeen + 1] = aWorld.desire;
  });
}

StepFunction
ReadOperators(World& aWorld, Fields& aFields)
{
  const auto count = static_cast<unsigned>(aFields.Number("racing", 1));
  const std::vector<std::string> out = aFields.Texts("domains_out");
  const std::vector<std::string> in = aFields.Texts("domains_in");
  const std::string service = aFields.Text("service", "");
  const double share = aFields.Number("new_version_share", 0);
  for (const std::string& domain : out) {
    if (std::ranges::find(aWorld.domains, domain) == aWorld.domains.end()) {
      throw std::runtime_error("no such domain: " + domain);
    }
  }
  return [=](World& aNow) {
    const std::uint64_t seen = aNow.desire.version;
    SimulatedDesire desire = aNow.desire;
    desire.domainsOut.insert(out.begin(), out.end());
    for (const std::string& domain : in) {
      desire.domainsOut.erase(domain);
    }
    if (!service.empty()) {
      desire.newVersionShare[service] = share;
    }
    for (unsigned index = 0; index < count; ++index) {
      Write(aNow, seen, desire);
    }
  };
}

StepFunction
ReadCut(World& aWorld, Fields& aFields)
{
  const auto left = ReadDaemons(aWorld, aFields, "between");
  const auto right = ReadDaemons(aWorld, aFields, "and");
  const bool isHealed = aFields.Flag("healed");
  return [=](World& aNow) {
    for (const SimulatedDaemon* one : left) {
      for (const SimulatedDaemon* other : right) {
        for (const auto& pair : { std::pair(one->name, other->name),
                                  std::pair(other->name, one->name) }) {
          if (isHealed) {
            aNow.cuts.erase(pair);
          } else if (one != other) {
            aNow.cuts.insert(pair);
          }
        }
      }
    }
  };
}

StepFunction
ReadNetwork(World&, Fields& aFields)
{
  const double loss = aFields.Number("message_loss", 0);
  const auto peerJitter = aFields.Milliseconds("peer_jitter_ms", 0);
  const auto clientJitter = aFields.Milliseconds("client_jitter_ms", 0);
  return [=](World& aWorld) {
    aWorld.messageLoss = loss;
    aWorld.peerJitter = peerJitter;
    aWorld.clientJitter = clientJitter;
  };
}

StepFunction
ReadConnections(World&, Fields& aFields)
{
  const double share = aFields.Number("cut_share", 0);
  const bool everyByte = aFields.Flag("cut_at_every_byte");
  const bool invalid = aFields.Flag("answers_invalid");
  return [=](World& aWorld) {
    aWorld.cutShare = share;
    aWorld.nextCut = everyByte ? std::optional(0U) : std::nullopt;
    aWorld.answersAreInvalid = invalid;
  };
}

} // namespace

const std::map<std::string, StepReader>&
StepReaders()
{
  static const std::map<std::string, StepReader> kReaders{
    { "slow", ForServers([](Fields& aFields) {
        return [factor = aFields.Number("factor")](SimulatedServer& aServer) {
          aServer.slowFactor = factor;
        };
      }) },
    { "drain", ForServers([](Fields& aFields) {
        return [ends = aFields.Flag("ends")](SimulatedServer& aServer) {
          aServer.isDraining = !ends;
        };
      }) },
    // mode: answer, refuse or reset; empty ends it.
    { "fail_fast", ForServers([](Fields& aFields) {
        return [mode = aFields.Text("mode")](SimulatedServer& aServer) {
          aServer.failFast = mode;
        };
      }) },
    { "turn_cold", ForServers([](Fields& aFields) {
        return [factor = aFields.Number("factor")](SimulatedServer& aServer) {
          aServer.TurnCold(factor);
        };
      }) },
    { "server_dies", ForServers([](Fields&) {
        return [](SimulatedServer& aServer) { aServer.Die(""); };
      }) },
    { "new_version", ForServers([](Fields& aFields) {
        return [slow = aFields.Number("factor", 1),
                mode = aFields.Text("mode", "")](SimulatedServer& aServer) {
          aServer.isNewVersion = true;
          aServer.slowFactor = slow;
          aServer.failFast = mode;
        };
      }) },
    { "daemon_pauses", ForDaemons([](Fields& aFields) {
        return [time = aFields.Milliseconds("for_ms")](
                 SimulatedDaemon& aDaemon) { aDaemon.Pause(time); };
      }) },
    { "daemon_dies", ForDaemons([](Fields& aFields) {
        std::optional<microseconds> restart;
        if (aFields.Has("restart_ms")) {
          restart = aFields.Milliseconds("restart_ms");
        }
        return [restart](SimulatedDaemon& aDaemon) { aDaemon.Die(restart); };
      }) },
    { "refuse_early", ForDaemons([](Fields& aFields) {
        return [kind = ReadKind(aFields)](SimulatedDaemon& aDaemon) {
          aDaemon.refusal = kind;
        };
      }) },
    { "choice_fails", ForDaemons([](Fields& aFields) {
        return [kind = ReadKind(aFields)](SimulatedDaemon& aDaemon) {
          aDaemon.choiceError = kind;
        };
      }) },
    { "drop_calls", ForDaemons([](Fields&) {
        return [](SimulatedDaemon& aDaemon) {
          const auto sessions = aDaemon.Process().sessions;
          for (const auto& [id, session] : sessions) {
            session->Drop();
          }
        };
      }) },
    { "store", ReadStore },
    { "operators", ReadOperators },
    { "cut", ReadCut },
    { "network", ReadNetwork },
    { "connections", ReadConnections },
  };
  return kReaders;
}

} // namespace fireflytrail::scenario
