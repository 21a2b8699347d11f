#pragma once

#include "core/Hooks.h"
#include "gossip/Delta.h"
#include "gossip/Digest.h"
#include "gossip/GossipMessage.h"
#include "gossip/GossipSettings.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
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
 * Schedules the exchange of records and selects the peers. There is one
 * exchange per interval, with one peer at a time in round-robin order. If some
 * peers are near (see `SetNearness`), most exchanges are with them. Urgent
 * records are pushed to a few peers, which forward them. Large records are
 * published at a rate that keeps the whole fleet within the byte budget.
 */
class GossipExchanger
{
public:
  /** Time between two calls of `Tick`. */
  static constexpr std::chrono::milliseconds kTickInterval{ 100 };

  /** Inactivity for longer than this is treated as a pause of the process. */
  static constexpr std::chrono::milliseconds kPauseThreshold{ 2000 };

  /** `aState` and `aMembership` must outlive the exchanger. */
  GossipExchanger(GossipState& aState,
                  Membership& aMembership,
                  core::NowFunction aNow,
                  core::RandomFunction aRandom,
                  SendFunction aSend,
                  const GossipSettings& aSettings = {});

  /**
   * Sets a function that returns whether a peer, given its name, is near:
   * exchanges with far ones are expensive and become rare. Far peers still
   * receive their share of pushes. Call before the first `Tick`.
   */
  void SetNearness(std::function<bool(std::string_view)> aIsNear);

  /**
   * Runs all work that is due. Call every `kTickInterval`. Not thread-safe,
   * like every method of this class.
   */
  void Tick();

  /**
   * Writes a record of this daemon and pushes it at once. Returns false,
   * without effect, if `GossipState::SetRecord` rejects the record.
   */
  bool PublishUrgent(std::string_view aKey, std::string_view aValue);

  /**
   * Writes a record of this daemon, but not more often than the byte budget
   * allows for records of this size from all hosts. Of several values published
   * in between, only the last is written.
   */
  void PublishPaced(std::string_view aKey, std::string_view aValue);

  /** Removes a paced record; the remaining ones are then written more often. */
  void WithdrawPaced(std::string_view aKey);

  /** Returns the time between two writes of the current paced records. */
  std::chrono::milliseconds PacedInterval() const;

  void Receive(const std::string& aFrom, const Digest& aDigest);
  void Receive(const std::string& aFrom, const Delta& aDelta);

  /**
   * Whether the daemon's view may be out of date because the process was
   * paused. This ends with a reply from a peer whose view is reliable, with
   * replies from half of the hosts, or with `OnStoreRead`.
   */
  bool IsStale() const;

  /**
   * Detects a pause of the process. `Tick` and `Receive` call it themselves;
   * call it before other work that may be the first after a pause.
   */
  void CheckPause();

  /** Ends staleness after a successful read of the store. */
  void OnStoreRead() { this->stale = false; }

  /**
   * Whether enough peers have replied to rely on the newest version seen: three
   * since the start or the last pause, or, once three seconds have passed since
   * the start, at least one at any time.
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

  /** A paced record; its last value may not have been written yet. */
  struct Paced
  {
    std::string value;
    bool isPending = false;
    core::TimePoint nextWrite;
  };

  void StartExchange();
  std::optional<Peer> NextPeer();
  /** Whether the next exchange may be with a far peer. */
  bool IsFarExchange() const;
  void StartPush(const std::string& aName, const std::string& aKey);
  void HandleDuplicatePush(const Delta& aDelta);
  void SendPushRound(Push& aPush);
  void SendDuePushes();
  void WriteDuePaced();
  /** Refills the token bucket; returns the byte limit of the next message. */
  std::size_t RefillByteTokens();
  void ConsumeByteTokens(const Delta& aDelta);
  /** Whether the view is not stale and enough peers have replied. */
  bool IsViewReliable() const;

  GossipState& state;
  Membership& membership;
  core::NowFunction now;
  core::RandomFunction random;
  SendFunction send;
  GossipSettings settings;
  std::function<bool(std::string_view)> isNear;
  core::TimePoint started;
  core::TimePoint lastActivity;
  core::TimePoint nextExchange;
  std::optional<core::TimePoint> lastExchange;
  std::uint32_t exchange = 0;
  /**
   * First exchange after the last pause. The records of replies to earlier ones
   * are applied, but these replies do not end staleness and are not counted.
   */
  std::uint32_t firstValidExchange = 1;
  bool stale = false;
  std::set<std::string, std::less<>> repliedSinceResume;
  std::vector<std::string> shuffledPeers;
  unsigned selectionCount = 0;
  std::vector<Push> pushes;
  std::map<std::string, Paced, std::less<>> paced;
  /** Token bucket of record bytes to send; may temporarily be negative. */
  double byteTokens;
  core::TimePoint tokensUpdated;
};

} // namespace fireflytrail::gossip
