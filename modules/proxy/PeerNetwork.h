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

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace fireflytrail::proxy {

/**
 * The other daemons: who is alive, what their hosts can carry, and messages to
 * and from them. Belongs to the daemon's thread.
 */
class PeerNetwork
{
public:
  using MessageFunction =
    std::function<void(const std::string& aFrom, const wire::WireMessage&)>;

  /** The settings must outlive this. `aOnMessage` receives all messages but
   * gossip. */
  PeerNetwork(boost::asio::io_context& aContext,
              const configuration::ProxySettings& aSettings,
              core::DaemonId aSelf,
              core::RandomFunction aRandom,
              MessageFunction aOnMessage);
  ~PeerNetwork();
  PeerNetwork(const PeerNetwork&) = delete;
  PeerNetwork& operator=(const PeerNetwork&) = delete;

  /** Starts to listen; returns false if the address is not available. Call
   * once, before anything else. */
  bool Open();

  /** Starts to exchange what is known. Call once, after `Open`. */
  void Start();

  /** Tells the others that this daemon stops. */
  void AnnounceLeaving() { this->node->AnnounceLeaving(); }

  /** Sends a message to a daemon by name; it may be lost. */
  void Send(const std::string& aName, wire::WireMessage aMessage);

  /** Returns the names of the live daemons, without this one. */
  std::vector<std::string> Names() const;

  /** Returns those of them whose hosts can carry work for all. */
  std::vector<std::string> StrongNames() const;

  /** Returns what is known of a daemon's host. */
  PeerHost DescriptionOf(const std::string& aName) const;

  /** Returns the largest plausible number of hosts. */
  std::size_t PlausibleHostCount() const
  {
    return this->node->Members().PlausibleHostCount();
  }

  /** Returns the totals of the connections since the start. */
  const gateway::PeerCounts& Counts() const { return this->hub->Counts(); }

private:
  void OnTick();

  boost::asio::io_context& context;
  const configuration::ProxySettings& settings;
  core::DaemonId self;
  core::RandomFunction random;
  MessageFunction onMessage;
  boost::asio::steady_timer announceTimer;
  boost::asio::steady_timer tickTimer;
  std::shared_ptr<gateway::PeerHub> hub;
  std::unique_ptr<gossip::GossipNode> node;
};

} // namespace fireflytrail::proxy
