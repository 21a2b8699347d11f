#pragma once

#include "gossip/GossipNode.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace fireflytrail::gossip {

/**
 * Test support: gossip nodes on a simulated network with a virtual clock,
 * delays, message loss, partitions, pauses and restarts. Used by the tests of
 * this module and by bench_gossip; not part of the program.
 */
class VirtualNetwork
{
public:
  /** One host and the process on it. */
  struct Host
  {
    std::string name;
    std::unique_ptr<GossipNode> node;
    bool isUp = false;
    core::TimePoint pausedUntil;
    std::chrono::milliseconds clockSkew{ 0 };
    /**
     * Changes with each start and stop, so that ticks scheduled for an earlier
     * process are dropped.
     */
    unsigned generation = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
    std::uint64_t messagesSent = 0;
  };

  explicit VirtualNetwork(std::uint64_t aSeed)
    : random(aSeed)
  {
  }

  core::TimePoint Now() const { return this->current; }

  /**
   * Starts a process on a host, which is added if necessary. On an existing
   * host it replaces the process and starts with empty state.
   */
  void Start(std::size_t aIndex)
  {
    while (this->hosts.size() <= aIndex) {
      this->hosts.emplace_back();
      const std::string number = std::to_string(this->hosts.size() + 99);
      this->hosts.back().name = "entry-" + number.substr(1);
    }
    Host& host = this->hosts[aIndex];
    GossipHooks hooks;
    hooks.now = [this] { return this->current; };
    hooks.wallNow = [this, aIndex] {
      return core::WallTimePoint(std::chrono::hours(480'000)) +
             std::chrono::duration_cast<std::chrono::milliseconds>(
               this->current.time_since_epoch()) +
             this->hosts[aIndex].clockSkew;
    };
    hooks.random = [this] { return this->random(); };
    hooks.send = [this, aIndex](const Peer& aTo,
                                const GossipMessage& aMessage) {
      this->Send(aIndex, aTo.name, aMessage);
    };
    hooks.desiredAccepted = [this, aIndex](std::uint64_t aVersion,
                                           const std::string&) {
      this->hosts[aIndex].node->Desired().ConfirmApplied(aVersion);
      if (this->accepted) {
        this->accepted(aIndex, aVersion);
      }
    };
    host.node =
      std::make_unique<GossipNode>(core::DaemonId{ host.name, this->random() },
                                   "10.0.0." + std::to_string(aIndex) + ":7000",
                                   std::move(hooks),
                                   this->settings);
    host.isUp = true;
    host.pausedUntil = this->current;
    const unsigned generation = ++host.generation;
    // A random offset keeps the ticks of the processes from being synchronized.
    this->At(std::chrono::microseconds(this->random() % 100'000),
             [this, aIndex, generation] { this->Tick(aIndex, generation); });
  }

  void Stop(std::size_t aIndex)
  {
    this->hosts[aIndex].isUp = false;
    ++this->hosts[aIndex].generation;
  }

  /** Suspends a process; it receives waiting messages when it resumes. */
  void Pause(std::size_t aIndex, std::chrono::milliseconds aTime)
  {
    this->hosts[aIndex].pausedUntil = this->current + aTime;
  }

  /** Sets the host list of a daemon to the given hosts. */
  void SetList(std::size_t aIndex, const std::vector<std::size_t>& aListed)
  {
    std::vector<ListedHost> list;
    list.reserve(aListed.size());
    for (const std::size_t listed : aListed) {
      list.push_back({ this->hosts[listed].name,
                       "10.0.0." + std::to_string(listed) + ":7000",
                       false });
    }
    this->hosts[aIndex].node->Members().SetHostList(std::move(list));
  }

  void At(std::chrono::nanoseconds aDelay, std::function<void()> aAction)
  {
    this->events.push(
      { this->current + aDelay, ++this->sequence, std::move(aAction) });
  }

  void Run(std::chrono::nanoseconds aTime)
  {
    const core::TimePoint end = this->current + aTime;
    while (!this->events.empty() && this->events.top().at <= end) {
      Event event = this->events.top();
      this->events.pop();
      this->current = event.at;
      event.action();
    }
    this->current = end;
  }

  GossipNode& Node(std::size_t aIndex) { return *this->hosts[aIndex].node; }

  /** Settings of processes that are started afterwards. */
  GossipSettings settings;
  /** Probability that a message is lost. */
  double loss = 0;
  /** Returns whether messages from the first to the second host are dropped. */
  std::function<bool(std::size_t, std::size_t)> isPartitioned;
  /** Returns the size of a message on the wire in bytes. */
  std::function<std::size_t(const GossipMessage&)> sizeOf;
  /** Called with host index and version when a desired state is accepted. */
  std::function<void(std::size_t, std::uint64_t)> accepted;
  std::vector<Host> hosts;
  std::mt19937_64 random;

private:
  struct Event
  {
    core::TimePoint at;
    std::uint64_t sequence;
    std::function<void()> action;

    bool operator<(const Event& aOther) const
    {
      return std::pair(this->at, this->sequence) >
             std::pair(aOther.at, aOther.sequence);
    }
  };

  void Tick(std::size_t aIndex, unsigned aGeneration)
  {
    Host& host = this->hosts[aIndex];
    if (host.generation != aGeneration) {
      return;
    }
    if (this->current < host.pausedUntil) {
      this->At(host.pausedUntil - this->current + std::chrono::milliseconds(5),
               [=, this] { this->Tick(aIndex, aGeneration); });
      return;
    }
    host.node->Tick();
    this->At(GossipExchanger::kTickInterval,
             [=, this] { this->Tick(aIndex, aGeneration); });
  }

  void Send(std::size_t aFrom,
            const std::string& aTo,
            const GossipMessage& aMessage)
  {
    const std::size_t size = this->sizeOf ? this->sizeOf(aMessage) : 0;
    this->hosts[aFrom].bytesSent += size;
    ++this->hosts[aFrom].messagesSent;
    for (std::size_t to = 0; to < this->hosts.size(); ++to) {
      if (this->hosts[to].name != aTo ||
          (this->isPartitioned && this->isPartitioned(aFrom, to)) ||
          std::uniform_real_distribution<>()(this->random) < this->loss) {
        continue;
      }
      // Delays: 0.5 ms between failure domains and up to 1 ms in the process.
      this->At(std::chrono::microseconds(500 + this->random() % 1000),
               [=, this, from = this->hosts[aFrom].name] {
                 this->Deliver(to, from, aMessage, size);
               });
    }
  }

  void Deliver(std::size_t aTo,
               const std::string& aFrom,
               const GossipMessage& aMessage,
               std::size_t aSize)
  {
    Host& host = this->hosts[aTo];
    if (!host.isUp) {
      return;
    }
    if (this->current < host.pausedUntil) {
      this->At(host.pausedUntil - this->current,
               [=, this] { this->Deliver(aTo, aFrom, aMessage, aSize); });
      return;
    }
    host.bytesReceived += aSize;
    host.node->Receive(aFrom, aMessage);
  }

  // Starts above zero, like a real steady clock; otherwise heartbeat ages would
  // be wrong.
  core::TimePoint current{ std::chrono::hours(1) };
  std::uint64_t sequence = 0;
  std::priority_queue<Event> events;
};

} // namespace fireflytrail::gossip
