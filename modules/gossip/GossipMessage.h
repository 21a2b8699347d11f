#pragma once

#include "gossip/Delta.h"
#include "gossip/DesiredRequest.h"
#include "gossip/DesiredResponse.h"
#include "gossip/Digest.h"

#include <functional>
#include <string>
#include <variant>

namespace fireflytrail::gossip {

/** Any message between the gossip parts of two daemons. */
using GossipMessage =
  std::variant<Digest, Delta, DesiredRequest, DesiredResponse>;

/** A daemon as the target of a message. */
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
