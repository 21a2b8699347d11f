#pragma once

#include "gossip/DocumentKind.h"

#include <cstdint>

namespace fireflytrail::gossip {

/** Asks one peer for a document. */
struct DesiredRequest
{
  std::uint64_t requestId = 0;
  /** The lowest version of use to the requester. */
  std::uint64_t version = 0;
  /** The version that the requester has; 0 for none. */
  std::uint64_t haveVersion = 0;
  /** Asks for the document even if the peer has served it often lately. */
  bool insist = false;
  /** Which document. */
  DocumentKind kind = DocumentKind::DesiredState;

  bool operator==(const DesiredRequest&) const = default;
};

} // namespace fireflytrail::gossip
