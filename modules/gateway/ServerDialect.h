#pragma once

#include "gateway/CallRequest.h"
#include "routing/LoadSample.h"
#include "routing/ServerNotice.h"

#include <boost/beast/http/message.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace fireflytrail::gateway {

/** What the header of a server's message states about the request. */
enum class ServerReply : std::uint8_t
{
  /** The server's own answer to this request, success or failure. */
  Answer,
  /** The server refused the request before running it. */
  Refusal,
  /** Another server uses the address; it did not run the request. */
  WrongServer,
  /** The answer to another request. */
  MismatchedAnswer,
  /** Not an answer that can be passed on to the caller. */
  Invalid,
};

/** What a request to a server states in addition to the caller's request. */
struct ServerRequestInfo
{
  /** Expected identity of the server; may be empty. */
  std::string serverId;
  /** IP address of the server. */
  std::string address;
  /** Time left for the request, above zero. */
  std::chrono::milliseconds timeLeft{ 0 };
  /** Above 0 if this request is a retry. */
  unsigned attempt = 0;
};

/** What the header of an answer states in addition to the answer. */
struct ServerReplyInfo
{
  ServerReply reply = ServerReply::Invalid;
  /** Whether the answer names the request that it belongs to. If not, it may be
   * an earlier answer that the server has written once more. Always set by
   * protocols whose answers name no request. */
  bool namesRequest = true;
  /** The load report, if it is stated as text for `LoadReport::Parse`. */
  std::optional<std::string> loadText;
  /** The load report, if it is stated as numbers. */
  std::optional<routing::LoadSample> load;
  /** What the server states about itself. */
  routing::ServerNotice notice;
  /** Remaining time for which the server is cold; 0 if not stated. */
  std::chrono::milliseconds remainingColdTime{ 0 };
  /** How long the server keeps an idle connection open, if stated. */
  std::optional<std::chrono::seconds> idleTimeout;
};

/**
 * Writes requests to and reads answers from the HTTP header fields that backend
 * servers use. All functions are set, may be called on any thread and perform
 * no I/O.
 */
struct ServerDialect
{
  /** Adds the fields for the server to the caller's end-to-end fields. */
  std::function<void(boost::beast::http::request_header<>&,
                     const CallRequest&,
                     const ServerRequestInfo&)>
    writeRequest;

  /** Reads an answer's header and removes fields not meant for the caller. */
  std::function<ServerReplyInfo(boost::beast::http::response_header<>&,
                                const CallRequest&)>
    readAnswer;

  /** Whether an answer without a length is accepted, which ends when the server
   * closes the connection. */
  bool allowsUnframedAnswers = false;

  /** Returns the dialect with the product's own fields of `HttpFields.h`; see
   * docs/design.md section 3. Thread-safe. */
  static std::shared_ptr<const ServerDialect> Native();
};

} // namespace fireflytrail::gateway
