#pragma once

#include "configuration/ProxySettings.h"
#include "core/DaemonId.h"
#include "core/Hooks.h"
#include "gateway/PeerHub.h"
#include "gossip/GossipNode.h"
#include "proxy/PeerHost.h"
#include "wire/WireMessage.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace fireflytrail::proxy {

/**
 * The other daemons: their liveness, the descriptions of their hosts and the
 * messages to and from them. For use on the daemon's thread only.
 */
class PeerNetwork
{
public:
  using MessageFunction =
    std::function<void(const core::DaemonId& aFrom, const wire::WireMessage&)>;

  /**
   * The settings must outlive this object. `aOnMessage` receives all messages
   * except gossip.
   */
  PeerNetwork(boost::asio::io_context& aContext,
              const configuration::ProxySettings& aSettings,
              core::DaemonId aSelf,
              core::RandomFunction aRandom,
              MessageFunction aOnMessage);
  ~PeerNetwork();
  PeerNetwork(const PeerNetwork&) = delete;
  PeerNetwork& operator=(const PeerNetwork&) = delete;

  /** Starts to listen. Returns an error if the address is not available; only
   * then it may be called again. Call before anything else. `aMemory` bounds
   * what other daemons have sent in part, and may be null. */
  boost::system::error_code Open(std::shared_ptr<core::MemoryBudget> aMemory);

  /** Starts the gossip exchange. Call once, after `Open`. */
  void Start();

  /** Announces to the other daemons that this daemon is stopping. */
  void AnnounceLeaving();

  /** Sends a message to the named daemon; the message may be lost. */
  void Send(const std::string& aName, wire::WireMessage aMessage);

  /** Returns the names of the daemons that the settings name, without this
   * one. */
  std::vector<std::string> SeedNames() const;

  /** Returns the names of the live daemons except this one. */
  std::vector<std::string> LivePeerNames() const;

  /**
   * Returns the names of the live daemons on strong hosts (see
   * `PeerHost::isStrong`) except this one. The list may be a fifth of a second
   * old.
   */
  const std::vector<std::string>& StrongPeerNames() const;

  /**
   * Returns the description of a daemon's host; only the name is set if the
   * description has not arrived yet.
   */
  PeerHost DescriptionOf(const std::string& aName) const;

  /** Returns the largest plausible number of hosts. */
  std::size_t ConservativeHostCount() const
  {
    return this->node->Members().ConservativeHostCount();
  }

  /** Returns the traffic totals since the start. */
  const gateway::PeerCounts& Counts() const { return this->hub->Counts(); }

private:
  void CreateNode(std::shared_ptr<core::MemoryBudget> aMemory);
  void OnTick();
  /** Whether a daemon is, as far as known here, in this failure domain. */
  bool IsNear(std::string_view aName) const;

  boost::asio::io_context& context;
  const configuration::ProxySettings& settings;
  core::DaemonId self;
  core::RandomFunction random;
  MessageFunction onMessage;
  boost::asio::steady_timer announceTimer;
  boost::asio::steady_timer tickTimer;
  std::shared_ptr<gateway::PeerHub> hub;
  std::unique_ptr<gossip::GossipNode> node;
  mutable std::vector<std::string> strongPeerNames;
  mutable std::chrono::steady_clock::time_point strongPeerNamesAt{};
};

} // namespace fireflytrail::proxy
