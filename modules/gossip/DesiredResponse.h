#pragma once

#include <cstdint>
#include <string>

namespace fireflytrail::gossip {

/** Answer to a `DesiredRequest`. */
struct DesiredResponse
{
  std::uint64_t requestId = 0;
  /** 0 if the response carries no document. */
  std::uint64_t version = 0;
  std::string document;
  /** Without a document: the name of a peer to ask instead, or empty. */
  std::string askInstead;

  bool operator==(const DesiredResponse&) const = default;
};

} // namespace fireflytrail::gossip
