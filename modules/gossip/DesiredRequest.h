#pragma once

#include "gossip/DocumentKind.h"

#include <cstdint>

namespace fireflytrail::gossip {

/** Requests a document from one peer. */
struct DesiredRequest
{
  std::uint64_t requestId = 0;
  /** The lowest version that the requester can use. */
  std::uint64_t version = 0;
  /**
   * Version that a patch may be based on; 0 if the requester has no document or
   * needs the whole one.
   */
  std::uint64_t haveVersion = 0;
  /** Requests the document even if the peer has reached its serve limit. */
  bool insist = false;
  DocumentKind kind = DocumentKind::DesiredState;

  bool operator==(const DesiredRequest&) const = default;
};

} // namespace fireflytrail::gossip
