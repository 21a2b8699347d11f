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
  // Sessions and the process own each other while calls run.
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
      if (const auto gone = weak.lock()) {
        gone->CallerGone();
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
      const auto ticket = this->process->ledger.Issue();
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
        this->waiting.push_back(event);
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
    for (const auto& event : std::exchange(this->waiting, {})) {
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
  this->waiting.clear();
  for (auto& [id, session] : std::exchange(this->process->sessions, {})) {
    session->ProcessEnded();
  }
  if (aRestart) {
    this->world.clock.After(*aRestart, [this] { this->StartProcess(); });
  }
}

void
SimulatedDaemon::MergeCrash(const calls::CrashEntry& aEntry)
{
  this->Post(microseconds(0),
             [this, aEntry] { this->process->guard.Merge(aEntry); });
}

void
SimulatedDaemon::ConnectionClosed(std::uint64_t aServer,
                                  std::uint64_t aServerStart)
{
  auto& connections = this->process->connections;
  const auto found = connections.find(aServer);
  if (found != connections.end() && found->second == aServerStart) {
    connections.erase(found);
  }
}

void
SimulatedDaemon::StartProcess()
{
  this->process = std::make_shared<DaemonProcess>(
    core::DaemonId{ this->name, this->world.random.Next() | 1 },
    this->world.random.Next(),
    this->world.clock.NowHook(),
    [this](const calls::CrashEntry& aEntry) { this->SpreadCrash(aEntry); },
    this->world.ticketLimits);
  for (const auto& [service, model] : this->world.services) {
    this->process->budgets[service] =
      std::make_unique<calls::RetryBudget>(this->world.clock.NowHook());
  }

  this->Post(this->world.random.Time(std::chrono::seconds(1)),
             [this] { this->Tick(); });
  if (this->world.clock.Elapsed().count() > 0) {
    this->LearnFromPeers();
  }
}

void
SimulatedDaemon::LearnFromPeers()
{
  // As the daemon does: no calls before one exchange with a peer, or until
  // the store has been read instead.
  this->isReady = false;
  this->Post(std::chrono::seconds(1), [this] { this->isReady = true; });
  for (const auto& peer : this->world.daemons) {
    if (peer.get() == this) {
      continue;
    }
    this->world.SendMessage(*this, *peer, [this, &peer] {
      peer->Post(microseconds(0), [this, &peer] {
        this->world.SendMessage(
          *peer, *this, [this, entries = peer->Process().guard.Entries()] {
            for (const calls::CrashEntry& entry : entries) {
              this->MergeCrash(entry);
            }
            this->Post(microseconds(0), [this] { this->isReady = true; });
          });
      });
    });
  }
}

void
SimulatedDaemon::SpreadCrash(const calls::CrashEntry& aEntry)
{
  for (const auto& peer : this->world.daemons) {
    if (peer.get() != this) {
      this->world.SendMessage(
        *this, *peer, [&peer, aEntry] { peer->MergeCrash(aEntry); });
    }
  }
}

void
SimulatedDaemon::Tick()
{
  // Exchange with one peer, so that lost messages are made good.
  const auto& peers = this->world.daemons;
  SimulatedDaemon& peer = *peers[this->world.random.Below(peers.size())];
  if (&peer != this) {
    for (const calls::CrashEntry& entry : this->process->guard.Entries()) {
      this->world.SendMessage(
        *this, peer, [&peer, entry] { peer.MergeCrash(entry); });
    }
    this->world.SendMessage(
      *this, peer, [&peer, desire = this->process->desire] {
        if (peer.IsAlive() && desire.version > peer.Process().desire.version) {
          peer.Process().desire = desire;
        }
      });
  }
  if (this->world.storeIsUp &&
      this->world.desire.version > this->process->desire.version) {
    this->process->desire = this->world.desire;
  }
  this->Post(std::chrono::seconds(1), [this] { this->Tick(); });
}

} // namespace fireflytrail::scenario
