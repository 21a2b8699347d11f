#pragma once

#include "gateway/CallAnswer.h"
#include "gateway/CallRequest.h"

#include <boost/beast/http/message.hpp>

#include <functional>
#include <memory>
#include <optional>

namespace fireflytrail::gateway {

/**
 * Reads requests from and writes answers to the HTTP header fields that callers
 * use. Functions may be called on any thread and perform no I/O.
 */
struct CallerDialect
{
  /**
   * Reads a request's header; the session fills in fields and body. Returns
   * nothing if the request is malformed.
   */
  std::function<std::optional<CallRequest>(
    const boost::beast::http::request_header<>&)>
    readRequest;

  /** Adds the header fields of an answer; may also replace its status. */
  std::function<void(boost::beast::http::response_header<>&, const CallAnswer&)>
    writeAnswer;

  /** Removes the fields by which callers present a key or name an organisation;
   * may be empty. */
  std::function<void(boost::beast::http::fields&)> removeIdentity = nullptr;

  /** Returns the dialect with the product's own fields of `HttpFields.h`; see
   * docs/design.md section 3. Thread-safe. */
  static std::shared_ptr<const CallerDialect> Native();
};

} // namespace fireflytrail::gateway
