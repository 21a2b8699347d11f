#pragma once

#include "core/ErrorKind.h"
#include "gateway/CallAnswer.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace fireflytrail::gateway {

/** How far one attempt at a server got, as seen on its connection. */
enum class ExchangeProgress : std::uint8_t
{
  /** No byte of the request was handed to the network. */
  NotSent,
  /** Some or all of the request was sent and no answer byte came. */
  Sent,
  /** A part of the answer came. */
  AnswerBegun,
  /** The whole answer came. */
  Answered,
};

/** The end of one attempt at a server. */
struct ServerExchange
{
  ExchangeProgress progress = ExchangeProgress::NotSent;
  /** `None` only if `progress` is `Answered`. */
  core::ErrorKind kind = core::ErrorKind::ConnectFailed;
  /** The server's answer; set only if `progress` is `Answered`. */
  CallAnswer answer;
  /** True if the answer says that the server refused before running. */
  bool isRefusal = false;
  /** Value of the `Server-Load` field, if the answer has one. */
  std::optional<std::string> serverLoad;
  /** Time from the start of sending to the end. */
  std::chrono::steady_clock::duration duration{};
  /** Whether a new connection was opened for this attempt. */
  bool isNewConnection = false;
};

} // namespace fireflytrail::gateway
