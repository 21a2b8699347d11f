#include "scenario/SimulatedDaemon.h"

#include "scenario/SimulatedSession.h"
#include "scenario/World.h"

#include <utility>

namespace fireflytrail::scenario {

SimulatedDaemon::SimulatedDaemon(World& aWorld,
                                 std::string aName,
                                 std::string aDomain)
  : name(std::move(aName))
  , domain(std::move(aDomain))
  , world(aWorld)
{
  this->StartProcess();
}

SimulatedDaemon::~SimulatedDaemon()
{
  this->process->isAlive = false;
  // Breaks the ownership cycle between the process and its sessions.
  std::exchange(this->process->sessions, {}).clear();
}

std::function<void()>
SimulatedDaemon::Handle(const SimulatedRequest& aRequest, ReplyFunction aReply)
{
  if (!this->IsAlive()) {
    aReply({ .isLost = true });
    return [] {};
  }
  const std::uint64_t id = this->world.NextId();
  auto session = std::make_shared<SimulatedSession>(
    this->world, *this, this->process, id, aRequest, std::move(aReply));
  this->process->sessions[id] = session;
  this->Post(microseconds(0), [session] { session->Begin(); });
  return [this, weak = std::weak_ptr(session)] {
    this->Post(microseconds(0), [weak] {
      if (const auto lockedSession = weak.lock()) {
        lockedSession->CallerGone();
      }
    });
  };
}

void
SimulatedDaemon::HandleTickets(
  unsigned aCount,
  std::function<void(const std::vector<std::string>&)> aReply)
{
  this->Post(microseconds(0), [this, aCount, aReply = std::move(aReply)] {
    std::vector<std::string> tickets;
    for (unsigned index = 0; index < aCount; ++index) {
      const auto ticket = this->process->ticketLedger.Issue();
      if (!ticket) {
        break;
      }
      tickets.push_back(ticket.value().Text());
    }
    aReply(tickets);
  });
}

void
SimulatedDaemon::Post(microseconds aDelay, std::function<void()> aEvent)
{
  this->world.clock.After(
    aDelay, [this, owner = this->process, event = std::move(aEvent)] {
      if (!owner->isAlive) {
        return;
      }
      if (this->isPaused) {
        this->deferredEvents.push_back(event);
      } else {
        event();
      }
    });
}

void
SimulatedDaemon::Pause(microseconds aTime)
{
  if (!this->IsAlive() || this->isPaused) {
    return;
  }
  this->isPaused = true;
  this->world.clock.After(aTime, [this, owner = this->process] {
    if (!owner->isAlive) {
      return;
    }
    this->isPaused = false;
    for (const auto& event : std::exchange(this->deferredEvents, {})) {
      if (owner->isAlive) {
        event();
      }
    }
  });
}

void
SimulatedDaemon::Die(std::optional<microseconds> aRestart)
{
  if (!this->IsAlive()) {
    return;
  }
  this->process->isAlive = false;
  this->isPaused = false;
  this->deferredEvents.clear();
  for (auto& [id, session] : std::exchange(this->process->sessions, {})) {
    session->ProcessEnded();
  }
  if (aRestart) {
    this->world.clock.After(*aRestart, [this] { this->StartProcess(); });
  }
}

void
SimulatedDaemon::ConnectionClosed(std::uint64_t aServer,
                                  std::uint64_t aServerStartId)
{
  auto& connections = this->process->connections;
  const auto found = connections.find(aServer);
  if (found != connections.end() && found->second == aServerStartId) {
    connections.erase(found);
    this->process->lastConnectFailure[aServer] = this->world.clock.Now();
  }
}

calls::IssuerState
SimulatedDaemon::IssuerStateOf(const core::DaemonId& aIssuer)
{
  const gossip::Origin* origin =
    this->process->gossip->State().FindOrigin(aIssuer.name);
  if (origin == nullptr) {
    return calls::IssuerState::Unreachable;
  }
  return origin->id.start == aIssuer.start ? calls::IssuerState::Reachable
                                           : calls::IssuerState::Gone;
}

void
SimulatedDaemon::StartProcess()
{
  this->process = std::make_shared<DaemonProcess>(
    core::DaemonId{ this->name, this->world.random.Next() | 1 },
    this->world.random.Next(),
    this->world.clock.NowHook(),
    [this](const calls::CrashEntry& aEntry) {
      this->Post(microseconds(0), [this, aEntry] {
        this->process->gossipRecords->Publish(aEntry);
      });
    },
    this->world.ticketLimits);
  for (const auto& [service, model] : this->world.services) {
    this->process->retryBudgets[service] =
      std::make_unique<calls::RetryBudget>(this->world.clock.NowHook());
  }
  this->StartGossip();
  // As in the real daemon, calls are refused until gossip has been exchanged
  // with a peer or the store has been read; 1 s stands for the latter.
  this->isReady = false;
  this->Post(std::chrono::seconds(1), [this] { this->isReady = true; });
}

void
SimulatedDaemon::StartGossip()
{
  gossip::GossipHooks hooks;
  hooks.now = this->world.clock.NowHook();
  hooks.wallNow = [this] {
    return core::WallTimePoint(
      std::chrono::duration_cast<core::WallTimePoint::duration>(
        this->world.clock.Now().time_since_epoch()));
  };
  hooks.random = [this] { return this->world.random.Next(); };
  hooks.send = [this](const gossip::Peer& aTo,
                      const gossip::GossipMessage& aMessage) {
    SimulatedDaemon* peer = this->world.FindDaemon(aTo.name);
    this->world.SendMessage(*this, *peer, [this, peer, aMessage] {
      peer->Post(microseconds(0), [this, peer, aMessage] {
        peer->process->gossip->Receive(this->name, aMessage);
        peer->isReady = true;
      });
    });
  };
  hooks.recordChanged = [this](const core::DaemonId&,
                               const gossip::Record& aRecord) {
    for (const calls::CrashEntry& entry :
         daemon::GossipRecords::ParseCrashes(aRecord.key, aRecord.value)) {
      this->process->crashGuard.Merge(entry);
    }
  };
  hooks.desiredAccepted = [this](std::uint64_t aVersion, const std::string&) {
    this->process->desiredState = this->world.desiredStates.at(aVersion);
    this->process->gossip->Desired().ConfirmApplied(aVersion);
  };
  this->process->gossip = std::make_unique<gossip::GossipNode>(
    this->process->id, this->name, std::move(hooks));
  this->process->gossipRecords = std::make_unique<daemon::GossipRecords>(
    this->world.clock.NowHook(),
    [this](std::string_view aKey, std::string_view aValue) {
      this->process->gossip->Exchanger().PublishUrgent(aKey, aValue);
    });
  std::vector<gossip::ListedHost> listed;
  for (const std::string& host : this->world.daemonNames) {
    listed.push_back({ host, host, false });
  }
  this->process->gossip->Members().SetHostList(std::move(listed));
  this->Post(this->world.random.Time(gossip::GossipExchanger::kTickInterval),
             [this] { this->GossipTick(); });
  this->Post(this->world.random.Time(std::chrono::seconds(1)),
             [this] { this->PollStore(); });
}

void
SimulatedDaemon::GossipTick()
{
  this->process->gossip->Tick();
  this->Post(gossip::GossipExchanger::kTickInterval,
             [this] { this->GossipTick(); });
}

void
SimulatedDaemon::PollStore()
{
  const std::uint64_t version = this->world.desiredState.version;
  auto& desired = this->process->gossip->Desired();
  if (this->world.storeIsUp && version > desired.HeldVersion()) {
    desired.OfferFromStore(version, std::to_string(version));
  }
  this->Post(std::chrono::seconds(1), [this] { this->PollStore(); });
}

} // namespace fireflytrail::scenario
