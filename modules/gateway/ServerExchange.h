#pragma once

#include "calls/AttemptResult.h"
#include "routing/LoadSample.h"
#include "routing/ServerNotice.h"

#include <chrono>
#include <memory>
#include <optional>
#include <string>

namespace fireflytrail::gateway {

/** Result of one attempt at a server, as observed on its connection. */
struct ServerExchange
{
  calls::AttemptProgress progress = calls::AttemptProgress::NothingSent;
  /** Set if and only if the progress is `Answered`. */
  std::shared_ptr<const calls::Answer> answer;
  /** The load report, if the answer states it as text, for example in the
   * `Server-Load` field. */
  std::optional<std::string> serverLoad;
  /** The load report, if the answer states it as numbers. */
  std::optional<routing::LoadSample> loadSample;
  /** What the server states about itself; empty if another server answered. */
  routing::ServerNotice notice;
  /** Remaining time for which the server is cold; 0 if not stated. */
  std::chrono::milliseconds remainingColdTime{ 0 };
  /** Whether another server answered at the address. */
  bool isWrongServer = false;
  /** Whether the server's host refused the connection. */
  bool isConnectRefused = false;
  /** Whether the connection failed for a reason on this side, for example
   * because no descriptor is left, which says nothing about the server. */
  bool isLocalFailure = false;
  /** Time from `ServerConnection::Send` to the end of the attempt. */
  std::chrono::steady_clock::duration duration{};
  /** Whether a new connection was opened for this attempt. */
  bool isNewConnection = false;
};

} // namespace fireflytrail::gateway
