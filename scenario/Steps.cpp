#include "core/ErrorTable.h"
#include "scenario/Scenario.h"
#include "scenario/SimulatedSession.h"

#include <fmt/format.h>

#include <algorithm>
#include <stdexcept>

namespace fireflytrail::scenario {

namespace {

/** Reads the servers that a step selects by `server`, `service` or `domain`. */
std::vector<SimulatedServer*>
ReadServers(World& aWorld, Fields& aFields)
{
  const std::string server = aFields.String("server", "");
  const std::string service = aFields.String("service", "");
  const std::string domain = aFields.String("domain", "");
  std::vector<SimulatedServer*> servers;
  for (const auto& candidate : aWorld.servers) {
    if ((server.empty() || candidate->name == server) &&
        (service.empty() || candidate->service.name == service) &&
        (domain.empty() || candidate->domain == domain)) {
      servers.push_back(candidate.get());
    }
  }
  if (servers.empty()) {
    throw std::runtime_error("step selects no server");
  }
  return servers;
}

/** Reads the daemons that the field `aKey` lists; all if it is missing. */
std::vector<SimulatedDaemon*>
ReadDaemons(World& aWorld, Fields& aFields, const std::string& aKey)
{
  std::vector<SimulatedDaemon*> daemons;
  for (const std::string& name : aFields.Strings(aKey)) {
    SimulatedDaemon* daemon = aWorld.FindDaemon(name);
    if (daemon == nullptr) {
      throw std::runtime_error("unknown daemon: " + name);
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
  const std::string name = aFields.String("kind", "none");
  for (const core::ErrorRow& row : core::ErrorTable::Rows()) {
    if (row.name == name) {
      return row.kind == core::ErrorKind::None ? std::nullopt
                                               : std::optional(row.kind);
    }
  }
  throw std::runtime_error("unknown kind: " + name);
}

/** Returns a reader for a step that changes each server that it selects. */
template<typename Read>
StepReader
ForEachServer(Read aReadChange)
{
  return [aReadChange](World& aWorld, Fields& aFields) -> StepFunction {
    const auto servers = ReadServers(aWorld, aFields);
    const auto change = aReadChange(aFields);
    return [servers, change](World&) {
      std::ranges::for_each(
        servers, [&](SimulatedServer* aServer) { change(*aServer); });
    };
  };
}

/**
 * Returns a reader for a step that changes each daemon that it lists; all if it
 * has no list.
 */
template<typename Read>
StepReader
ForEachDaemon(Read aReadChange)
{
  return [aReadChange](World& aWorld, Fields& aFields) -> StepFunction {
    const auto daemons = ReadDaemons(aWorld, aFields, "daemons");
    const auto change = aReadChange(aFields);
    return [daemons, change](World&) {
      std::ranges::for_each(
        daemons, [&](SimulatedDaemon* aDaemon) { change(*aDaemon); });
    };
  };
}

StepFunction
ReadStore(World&, Fields& aFields)
{
  const std::string state = aFields.String("state");
  if (state != "up" && state != "down") {
    throw std::runtime_error("store: \"state\" must be up or down");
  }
  const auto latency = aFields.Milliseconds("latency_ms", 2);
  const double loss = aFields.Number("answer_loss", 0);
  return [=](World& aWorld) {
    aWorld.storeIsUp = state == "up";
    aWorld.storeLatency = latency;
    aWorld.storeAnswerLoss = loss;
  };
}

/** One operator's conditional write, based on the version that was read. */
void
WriteDesiredState(World& aWorld,
                  std::uint64_t aReadVersion,
                  const SimulatedDesiredState& aDesiredState)
{
  aWorld.clock.After(
    aWorld.storeLatency, [&aWorld, aReadVersion, aDesiredState] {
      if (!aWorld.storeIsUp) {
        ++aWorld.record.writesFailed;
        return;
      }
      // If the answer to a write is lost, the operator reads the document back
      // and finds the write by its tag. The outcome recorded here is therefore
      // the one that the operator sees in the end.
      if (aWorld.desiredState.version != aReadVersion) {
        ++aWorld.record.writeConflicts;
        return;
      }
      ++aWorld.record.writesAccepted;
      aWorld.desiredState = aDesiredState;
      aWorld.desiredState.version = aReadVersion + 1;
      aWorld.desiredStates[aReadVersion + 1] = aWorld.desiredState;
    });
}

StepFunction
ReadOperators(World& aWorld, Fields& aFields)
{
  const auto count = static_cast<unsigned>(aFields.Number("racing", 1));
  const std::vector<std::string> out = aFields.Strings("domains_out");
  const std::vector<std::string> in = aFields.Strings("domains_in");
  const std::string service = aFields.String("service", "");
  const double share = aFields.Number("new_version_share", 0);
  for (const std::string& domain : out) {
    if (std::ranges::find(aWorld.domains, domain) == aWorld.domains.end()) {
      throw std::runtime_error("unknown domain: " + domain);
    }
  }
  return [=](World& aStepWorld) {
    const std::uint64_t readVersion = aStepWorld.desiredState.version;
    SimulatedDesiredState desiredState = aStepWorld.desiredState;
    desiredState.domainsOut.insert(out.begin(), out.end());
    for (const std::string& domain : in) {
      desiredState.domainsOut.erase(domain);
    }
    if (!service.empty()) {
      desiredState.newVersionShare[service] = share;
    }
    for (unsigned index = 0; index < count; ++index) {
      WriteDesiredState(aStepWorld, readVersion, desiredState);
    }
  };
}

StepFunction
ReadPartition(World& aWorld, Fields& aFields)
{
  const auto left = ReadDaemons(aWorld, aFields, "between");
  const auto right = ReadDaemons(aWorld, aFields, "and");
  const bool isHealed = aFields.Flag("healed");
  return [=](World& aStepWorld) {
    for (const SimulatedDaemon* one : left) {
      for (const SimulatedDaemon* other : right) {
        for (const auto& pair : { std::pair(one->name, other->name),
                                  std::pair(other->name, one->name) }) {
          if (isHealed) {
            aStepWorld.partitionedPairs.erase(pair);
          } else if (one != other) {
            aStepWorld.partitionedPairs.insert(pair);
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
    aWorld.connectionFailureShare = share;
    aWorld.nextFailAtByte = everyByte ? std::optional(0U) : std::nullopt;
    aWorld.answersAreInvalid = invalid;
  };
}

} // namespace

const std::map<std::string, StepReader>&
StepReaders()
{
  static const std::map<std::string, StepReader> kReaders{
    { "slow", ForEachServer([](Fields& aFields) {
        return [factor = aFields.Number("factor")](SimulatedServer& aServer) {
          aServer.slowFactor = factor;
        };
      }) },
    { "drain", ForEachServer([](Fields& aFields) {
        return [ends = aFields.Flag("ends")](SimulatedServer& aServer) {
          aServer.isDraining = !ends;
        };
      }) },
    // mode: answer, refuse or reset; an empty mode ends the fault.
    { "fail_fast", ForEachServer([](Fields& aFields) {
        return [mode = aFields.String("mode")](SimulatedServer& aServer) {
          aServer.failFast = mode;
        };
      }) },
    { "turn_cold", ForEachServer([](Fields& aFields) {
        return [factor = aFields.Number("factor")](SimulatedServer& aServer) {
          aServer.TurnCold(factor);
        };
      }) },
    { "server_dies", ForEachServer([](Fields&) {
        return [](SimulatedServer& aServer) { aServer.Die(""); };
      }) },
    { "new_version", ForEachServer([](Fields& aFields) {
        return [slow = aFields.Number("factor", 1),
                mode = aFields.String("mode", "")](SimulatedServer& aServer) {
          aServer.isNewVersion = true;
          aServer.slowFactor = slow;
          aServer.failFast = mode;
        };
      }) },
    { "daemon_pauses", ForEachDaemon([](Fields& aFields) {
        return [time = aFields.Milliseconds("for_ms")](
                 SimulatedDaemon& aDaemon) { aDaemon.Pause(time); };
      }) },
    { "daemon_dies", ForEachDaemon([](Fields& aFields) {
        std::optional<microseconds> restart;
        if (aFields.Has("restart_ms")) {
          restart = aFields.Milliseconds("restart_ms");
        }
        return [restart](SimulatedDaemon& aDaemon) { aDaemon.Die(restart); };
      }) },
    { "refuse_early", ForEachDaemon([](Fields& aFields) {
        return [kind = ReadKind(aFields)](SimulatedDaemon& aDaemon) {
          aDaemon.refusal = kind;
        };
      }) },
    { "choice_fails", ForEachDaemon([](Fields& aFields) {
        return [kind = ReadKind(aFields)](SimulatedDaemon& aDaemon) {
          aDaemon.choiceError = kind;
        };
      }) },
    { "drop_calls", ForEachDaemon([](Fields&) {
        return [](SimulatedDaemon& aDaemon) {
          const auto sessions = aDaemon.Process().sessions;
          for (const auto& [id, session] : sessions) {
            session->Drop();
          }
        };
      }) },
    { "store", ReadStore },
    { "operators", ReadOperators },
    { "cut", ReadPartition },
    { "network", ReadNetwork },
    { "connections", ReadConnections },
  };
  return kReaders;
}

} // namespace fireflytrail::scenario
