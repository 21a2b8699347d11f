#pragma once

#include "core/DaemonId.h"
#include "core/Hooks.h"
#include "gossip/DesiredRequest.h"
#include "gossip/DesiredResponse.h"
#include "gossip/DocumentKind.h"
#include "gossip/GossipMessage.h"
#include "gossip/GossipSettings.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fireflytrail::gossip {

class GossipExchanger;
class GossipState;
class Membership;
struct Record;

/** Status of a document, which each daemon publishes in a record. */
struct DocumentStatus
{
  /** The version that the daemon has and can send to others; 0 for none. */
  std::uint64_t held = 0;
  /** The version that the daemon has applied; 0 for none. */
  std::uint64_t appliedVersion = 0;
  /** When that version was applied, in wall-clock time. */
  core::WallTimePoint appliedAt;

  bool operator==(const DocumentStatus&) const = default;
};

/**
 * Distributes one versioned document, the desired state or the host list. The
 * replicated records carry only version numbers. A daemon that sees a newer
 * version requests the document from one peer that has it; the peer sends a
 * patch if the requester has the previous version. A daemon that has sent the
 * whole document to a few peers refers further ones to these, so that no daemon
 * sends it to the whole fleet.
 *
 * A document replaces only an older version. Documents from the store, and the
 * first document after the start, must not be older than the newest version
 * seen. The first document is not requested until enough peers have replied.
 */
class DocumentDistributor
{
public:
  /**
   * Called with version and content of each accepted document. May call
   * `ConfirmApplied`.
   */
  using AcceptedFunction =
    std::function<void(std::uint64_t, const std::string&)>;

  /** The referenced objects must outlive this object. */
  DocumentDistributor(DocumentKind aKind,
                      GossipState& aState,
                      GossipExchanger& aExchanger,
                      Membership& aMembership,
                      core::NowFunction aNow,
                      core::WallNowFunction aWallNow,
                      core::RandomFunction aRandom,
                      SendFunction aSend,
                      AcceptedFunction aAccepted,
                      const GossipSettings& aSettings = {});

  /**
   * Requests the document if a newer version is known. Call on each tick.
   * Not thread-safe, like every method of this class.
   */
  void Tick();

  /**
   * Accepts a document that was read from the store. Returns false, without
   * effect, if it is not newer than this daemon's version or is older than the
   * newest version seen.
   */
  bool OfferFromStore(std::uint64_t aVersion, std::string aDocument);

  /** Publishes that the daemon has applied a version. */
  void ConfirmApplied(std::uint64_t aVersion);

  void Receive(const std::string& aFrom, const DesiredRequest& aRequest);
  void Receive(const std::string& aFrom, const DesiredResponse& aResponse);

  /**
   * Updates the newest version seen from a changed record of another daemon.
   * Ignores records with other keys.
   */
  void HandleRecordChange(const Record& aRecord);

  /** Returns the version of this daemon's document; 0 for none. */
  std::uint64_t HeldVersion() const { return this->status.held; }

  const std::string& Document() const { return this->document; }

  /** Returns the newest version seen in any record or document. */
  std::uint64_t NewestSeen() const { return this->newestSeen; }

  /** Returns the published status of a daemon, or nothing if it is unknown. */
  std::optional<DocumentStatus> StatusOf(std::string_view aName) const;

  static std::string EncodeStatus(const DocumentStatus& aStatus);
  static std::optional<DocumentStatus> DecodeStatus(std::string_view aValue);

private:
  /** A request that has not been answered yet. */
  struct Pending
  {
    std::uint64_t id = 0;
    std::string peer;
    core::TimePoint deadline;
  };

  /** A peer that this daemon has sent the whole document to. */
  struct Recipient
  {
    std::string name;
    core::TimePoint sentAt;
  };

  /** A request received while this daemon was waiting for the document. */
  struct DeferredRequest
  {
    std::string name;
    DesiredRequest request;
  };

  void Accept(std::uint64_t aVersion, std::string aDocument, bool aIsUrgent);
  void RequestFrom(const std::string& aName);
  std::optional<std::string> ChooseHolder();
  void SendDocument(const std::string& aTo, const DesiredRequest& aRequest);
  /** Sends a patch; returns false if none applies or it is too large. */
  bool TrySendPatch(const std::string& aTo, const DesiredRequest& aRequest);
  /**
   * Returns the document of a response, or nothing if the patch does not apply
   * or the hash does not match.
   */
  std::optional<std::string> ReconstructDocument(
    const DesiredResponse& aResponse) const;
  void SendReferral(const std::string& aTo,
                    const DesiredRequest& aRequest,
                    std::string aAlternativePeer);
  Peer PeerFor(const std::string& aName) const;

  DocumentKind kind;
  GossipState& state;
  GossipExchanger& exchanger;
  Membership& membership;
  core::NowFunction now;
  core::WallNowFunction wallNow;
  core::RandomFunction random;
  SendFunction send;
  AcceptedFunction accepted;
  GossipSettings settings;
  DocumentStatus status;
  std::string document;
  /** Version of the previous document, which patches are based on. */
  std::uint64_t previousVersion = 0;
  std::string previousDocument;
  /** Patch from the previous document; created on the first request. */
  std::optional<std::vector<PatchPart>> patch;
  /** Set after a patch failed, until a document is accepted. */
  bool wantsWholeDocument = false;
  std::uint64_t newestSeen = 0;
  bool isAccepting = false;
  std::optional<Pending> pending;
  std::string lastFailedPeer;
  unsigned attempts = 0;
  std::uint64_t requestId = 0;
  std::vector<Recipient> recipients;
  std::size_t nextReferral = 0;
  std::vector<DeferredRequest> deferred;
};

} // namespace fireflytrail::gossip
