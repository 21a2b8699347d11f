#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace fireflytrail::wire {

/**
 * Heartbeat of a daemon that watches the store. It states whether the store
 * answers the sender, and for each kind of object the revision of the last
 * change that the sender knows.
 */
struct StoreBeat
{
  /** One revision per kind, in the order that all daemons use. */
  std::vector<std::uint64_t> lastRevisions;
  /** The store does not answer the sender, which keeps trying. */
  bool isLost = false;
  /** Whether the sender's host has capacity to work for all other hosts. */
  bool isStrong = false;
  /**
   * The sender receives no heartbeats and asks for them; the other members say
   * nothing then.
   */
  bool isAsking = false;
  /** Names of the other daemons that watch the store, as far as the sender
   * hears them. */
  std::vector<std::string> watching;
  /**
   * One digest of the known objects per kind (`ObjectReplica::Digest`); 0 if
   * the sender cannot tell how old its data are. Empty if the sender runs an
   * older version.
   */
  std::vector<std::uint64_t> digests;
  /** With `isAsking`: a receiver that does not watch answers with a referral.
   */
  bool wantsReferral = false;
  /**
   * With `isAsking`: this is no question, but the answer of a daemon that does
   * not watch. It has `lastRevisions` and `watching`.
   */
  bool isReferral = false;

  bool operator==(const StoreBeat&) const = default;
};

} // namespace fireflytrail::wire
