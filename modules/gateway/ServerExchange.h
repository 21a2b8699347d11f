#pragma once

#include "calls/AttemptResult.h"
#include "routing/LoadSample.h"

#include <chrono>
#include <memory>
#include <optional>
#include <string>

namespace fireflytrail::gateway {

/** The end of one attempt at a server, as seen on its connection. */
struct ServerExchange
{
  calls::AttemptProgress progress = calls::AttemptProgress::NothingSent;
  /** Set if and only if the progress is `Answered`. */
  std::shared_ptr<const calls::Answer> answer;
  /** Value of the `Server-Load` field, if the answer has one. */
  std::optional<std::string> serverLoad;
  /** The load that the answer states in figures, if it does. */
  std::optional<routing::LoadSample> loadSample;
  /** How much longer the server is cold, if the answer says so. */
  std::chrono::milliseconds remainingColdTime{ 0 };
  /** Whether another server answered at the address. */
  bool isWrongServer = false;
  /** Whether the address refused the connection. */
  bool isConnectRefused = false;
  /** Time from the start of sending to the end. */
  std::chrono::steady_clock::duration duration{};
  /** Whether a new connection was opened for this attempt. */
  bool isNewConnection = false;
};

} // namespace fireflytrail::gateway
