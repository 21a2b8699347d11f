#pragma once

#include "gateway/CallAnswer.h"
#include "gateway/CallRequest.h"

#include <boost/beast/http/message.hpp>

#include <functional>
#include <memory>
#include <optional>

namespace fireflytrail::gateway {

/**
 * The header fields spoken with callers. All functions are set, belong to no
 * thread and do no I/O.
 */
struct CallerDialect
{
  /**
   * Reads a request's header; the session fills in fields and body. Nothing if
   * the request is malformed.
   */
  std::function<std::optional<CallRequest>(
    const boost::beast::http::request_header<>&)>
    readRequest;

  /** Adds the fields of an answer, and may replace its status. */
  std::function<void(boost::beast::http::response_header<>&, const CallAnswer&)>
    writeAnswer;

  /** The product's own dialect, see docs/design.md section 3. Thread-safe. */
  static std::shared_ptr<const CallerDialect> Own();
};

} // namespace fireflytrail::gateway
