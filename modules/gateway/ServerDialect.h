#pragma once

#include "gateway/CallRequest.h"
#include "routing/LoadSample.h"

#include <boost/beast/http/message.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace fireflytrail::gateway {

/** What the header of a server's message says about the request. */
enum class ServerReply : std::uint8_t
{
  /** The server's own answer to this request, success or failure. */
  Answer,
  /** The server refused the request before running it. */
  Refusal,
  /** Another server has the address; it did not run the request. */
  WrongServer,
  /** The answer to another request. */
  ForeignAnswer,
  /** No answer that can be passed on. */
  Invalid,
};

/** What a request to a server states besides the caller's own request. */
struct ServerRequestInfo
{
  /** Identity that the server must have; may be empty. */
  std::string serverId;
  /** IP address of the server. */
  std::string address;
  /** Time that is left for the request, above zero. */
  std::chrono::milliseconds timeLeft{ 0 };
  /** Above 0 when this request is a retry. */
  unsigned attempt = 0;
};

/** What the header of an answer states besides the answer. */
struct ServerReplyInfo
{
  ServerReply reply = ServerReply::Invalid;
  /** The load report as text for `LoadReport::Parse`, if there is one. */
  std::optional<std::string> loadText;
  /** The load report in figures, if there is one. */
  std::optional<routing::LoadSample> load;
  /** How much longer the server is cold, if it says so. */
  std::chrono::milliseconds remainingColdTime{ 0 };
  /** How long the server keeps an idle connection, if it says so. */
  std::optional<std::chrono::seconds> idleTimeout;
};

/**
 * The header fields spoken with backend servers. All functions are set, belong
 * to no thread and do no I/O.
 */
struct ServerDialect
{
  /** Adds the fields of a request to the caller's end-to-end fields. */
  std::function<void(boost::beast::http::request_header<>&,
                     const CallRequest&,
                     const ServerRequestInfo&)>
    writeRequest;

  /** Reads an answer's header and removes the fields that end here. */
  std::function<ServerReplyInfo(boost::beast::http::response_header<>&,
                                const CallRequest&)>
    readAnswer;

  /** Whether an answer may end with its connection instead of a length. */
  bool allowsUnframedAnswers = false;

  /** The product's own dialect, see docs/design.md section 3. Thread-safe. */
  static std::shared_ptr<const ServerDialect> Own();
};

} // namespace fireflytrail::gateway
