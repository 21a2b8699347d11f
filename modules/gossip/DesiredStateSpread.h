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

/** What a daemon says of the desired state in its record. */
struct DocumentStatus
{
  /** The version whose document the daemon can serve; 0 for none. */
  std::uint64_t held = 0;
  /** The version that the daemon applies; 0 for none. */
  std::uint64_t inForce = 0;
  /** When `inForce` was applied, in civil time. */
  core::WallTimePoint since;

  bool operator==(const DocumentStatus&) const = default;
};

/**
 * Distributes one document, the desired state or the host list. Records carry
 * only versions; the document is requested from one peer that holds it, which
 * sends the difference if the requester has the version before. A daemon that
 * has sent the whole document to a few peers refers further ones to these, so
 * that no daemon sends it to the whole fleet. No version is accepted below the
 * newest one ever seen, and none from a peer until enough peers were heard
 * after the start.
 */
class DesiredStateSpread
{
public:
  /** Receives each accepted document; may call `ConfirmInForce`. */
  using AcceptedFunction =
    std::function<void(std::uint64_t, const std::string&)>;

  /** The references must outlive the spread. */
  DesiredStateSpread(DocumentKind aKind,
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
   * Requests the document if a newer version is known. Call with each tick.
   * Not thread-safe, like every method of this class.
   */
  void Tick();

  /**
   * Takes a version read from the store. Returns false if it is not newer
   * than every version seen before.
   */
  bool OfferFromStore(std::uint64_t aVersion, std::string aDocument);

  /** Notes that the daemon now applies a version. */
  void ConfirmInForce(std::uint64_t aVersion);

  void Receive(const std::string& aFrom, const DesiredRequest& aRequest);
  void Receive(const std::string& aFrom, const DesiredResponse& aResponse);

  /** Takes a changed record of another daemon; other keys are ignored. */
  void HandleRecordChange(const Record& aRecord);

  /** Returns the version held by this daemon; 0 for none. */
  std::uint64_t HeldVersion() const { return this->status.held; }

  const std::string& Document() const { return this->document; }

  /** Returns the newest version seen in any record or document. */
  std::uint64_t NewestSeen() const { return this->newestSeen; }

  /** Returns the status of a daemon if its record is known. */
  std::optional<DocumentStatus> StatusOf(std::string_view aName) const;

  static std::string EncodeStatus(const DocumentStatus& aStatus);
  static std::optional<DocumentStatus> DecodeStatus(std::string_view aValue);

private:
  /** A request without a response so far. */
  struct Pending
  {
    std::uint64_t id = 0;
    std::string peer;
    core::TimePoint deadline;
  };

  /** A peer that was sent the document or waits for it. */
  struct Recipient
  {
    std::string name;
    core::TimePoint sentAt;
  };

  /** A request received while the document was on its way. */
  struct DeferredRequest
  {
    std::string name;
    DesiredRequest request;
  };

  void Accept(std::uint64_t aVersion, std::string aDocument, bool aIsUrgent);
  void RequestFrom(const std::string& aName);
  std::optional<std::string> ChooseHolder();
  void SendDocument(const std::string& aTo, const DesiredRequest& aRequest);
  /** Sends a patch; returns false if there is none of use. */
  bool TrySendPatch(const std::string& aTo, const DesiredRequest& aRequest);
  /** Returns the document of a response, or nothing if it cannot be made. */
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
  /** The document before, as the base of patches. */
  std::uint64_t previousVersion = 0;
  std::string previousDocument;
  /** Patch from the previous document; made on the first request. */
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
