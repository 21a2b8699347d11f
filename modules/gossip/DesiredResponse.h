#pragma once

#include "gossip/DocumentKind.h"
#include "gossip/DocumentPatch.h"

#include <cstdint>
#include <string>
#include <vector>

namespace fireflytrail::gossip {

/** Response to a `DesiredRequest`: a document, a patch, or a referral. */
struct DesiredResponse
{
  std::uint64_t requestId = 0;
  /** 0 if the response carries neither document nor patch. */
  std::uint64_t version = 0;
  std::string document;
  /** Version that the patch applies to; 0 if there is no patch. */
  std::uint64_t patchBase = 0;
  std::vector<PatchPart> patch;
  /** `core::HashOf` of the whole document. */
  std::uint64_t documentHash = 0;
  /**
   * Referral: the name of a peer to ask instead, or empty. Only used without
   * document and patch.
   */
  std::string askInstead;
  DocumentKind kind = DocumentKind::DesiredState;

  bool operator==(const DesiredResponse&) const = default;
};

} // namespace fireflytrail::gossip
