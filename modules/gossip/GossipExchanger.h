#pragma once

#include "core/Hooks.h"
#include "gossip/Delta.h"
#include "gossip/Digest.h"
#include "gossip/GossipMessage.h"
#include "gossip/GossipSettings.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace fireflytrail::gossip {

class GossipState;
class Membership;

/**
 * Decides when records are exchanged and with whom: one exchange an interval
 * with one peer in turn, urgent records pushed to a few peers that forward
 * them, and large records published at a rate that keeps the whole fleet
 * within the byte budget.
 */
class GossipExchanger
{
public:
  /** Time between two calls of `Tick`. */
  static constexpr std::chrono::milliseconds kTickInterval{ 100 };

  /** No tick for longer than this is a pause of the process. */
  static constexpr std::chrono::milliseconds kPauseThreshold{ 2000 };

  /** `aState` and `aMembership` must outlive the exchanger. */
  GossipExchanger(GossipState& aState,
                  Membership& aMembership,
                  core::NowFunction aNow,
                  core::RandomFunction aRandom,
                  SendFunction aSend,
                  const GossipSettings& aSettings = {});

  /**
   * Does what is due. Call every `kTickInterval`. Not thread-safe, like every
   * method of this class.
   */
  void Tick();

  /** Writes an own record and pushes it at once. */
  bool PublishUrgent(std::string_view aKey, std::string_view aValue);

  /**
   * Writes an own record, but not more often than the byte budget allows for
   * records of this size from all hosts; of several values the last counts.
   */
  void PublishPaced(std::string_view aKey, std::string_view aValue);

  /** Removes a paced record; the others are then written more often. */
  void WithdrawPaced(std::string_view aKey);

  /** Returns the time between two writes of the present paced records. */
  std::chrono::milliseconds PacedInterval() const;

  void Receive(const std::string& aFrom, const Digest& aDigest);
  void Receive(const std::string& aFrom, const Delta& aDelta);

  /**
   * Whether the daemon woke from a pause and has not yet confirmed its view:
   * by an exchange with a peer that is not stale, or with half the hosts if
   * all are.
   */
  bool IsStale() const;

  /**
   * Notices a pause of the process. `Tick` and `Receive` do so themselves;
   * call it before other work that a wake can start with.
   */
  void CheckPause();

  /** Ends staleness after a successful read of the store. */
  void NoteStoreRead() { this->stale = false; }

  /**
   * Whether enough peers were heard since the start to rely on the newest
   * version seen: three of them, or any within three seconds.
   */
  bool HasEnoughReplies() const;

  /** Returns the time of the last successful exchange, if there was one. */
  std::optional<core::TimePoint> LastExchange() const
  {
    return this->lastExchange;
  }

private:
  /** An urgent record that is still being pushed. */
  struct Push
  {
    std::string name;
    std::string key;
    std::uint32_t version = 0;
    int roundsLeft = 0;
    core::TimePoint due;
  };

  /** A paced record whose last value may not be written yet. */
  struct Paced
  {
    std::string value;
    bool isPending = false;
    core::TimePoint nextWrite;
  };

  void StartExchange();
  std::optional<Peer> NextPeer();
  void StartPush(const std::string& aName, const std::string& aKey);
  void HandleDuplicatePush(const Delta& aDelta);
  void SendPushRound(Push& aPush);
  void SendDuePushes();
  void WriteDuePaced();
  std::size_t RefillByteTokens();
  void ConsumeByteTokens(const Delta& aDelta);
  bool IsViewReliable() const;

  GossipState& state;
  Membership& membership;
  core::NowFunction now;
  core::RandomFunction random;
  SendFunction send;
  GossipSettings settings;
  core::TimePoint started;
  core::TimePoint lastActivity;
  core::TimePoint nextExchange;
  std::optional<core::TimePoint> lastExchange;
  std::uint32_t exchange = 0;
  /** Replies to earlier exchanges do not end staleness. */
  std::uint32_t firstValidExchange = 1;
  bool stale = false;
  std::set<std::string, std::less<>> repliedSinceResume;
  std::vector<std::string> shuffledPeers;
  unsigned selectionCount = 0;
  std::vector<Push> pushes;
  std::map<std::string, Paced, std::less<>> paced;
  /** Record bytes that may be sent now; may be negative for a while. */
  double byteTokens;
  core::TimePoint tokensUpdated;
};

} // namespace fireflytrail::gossip
