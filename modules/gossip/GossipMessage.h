#pragma once

#include "gossip/Delta.h"
#include "gossip/DesiredRequest.h"
#include "gossip/DesiredResponse.h"
#include "gossip/Digest.h"

#include <functional>
#include <string>
#include <variant>

namespace fireflytrail::gossip {

/** Any gossip message between two daemons. */
using GossipMessage =
  std::variant<Digest, Delta, DesiredRequest, DesiredResponse>;

/** Name and address of a daemon that messages are sent to. */
struct Peer
{
  std::string name;
  /** Address of its peer port, `ip:port`. */
  std::string address;

  bool operator==(const Peer&) const = default;
};

/**
 * Sends a message to a peer. Delivery is not guaranteed; the function must
 * not call back into the gossip classes.
 */
using SendFunction = std::function<void(const Peer&, const GossipMessage&)>;

} // namespace fireflytrail::gossip
