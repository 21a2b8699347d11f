#pragma once

#include "core/ErrorKind.h"

#include <boost/beast/http/fields.hpp>

#include <string>

namespace fireflytrail::gateway {

/**
 * The answer to one call: a server's complete answer when `kind` is `None`,
 * otherwise the answer that the error table gives for the kind.
 */
struct CallAnswer
{
  core::ErrorKind kind = core::ErrorKind::None;
  unsigned status = 0;
  /** End-to-end header fields; hop-by-hop fields are removed. */
  boost::beast::http::fields fields;
  std::string body;
  /** True if the call is repeatable or carries a ticket. */
  bool isSafeToResend = false;

  /** Makes the answer of an error kind with a one-line body. */
  static CallAnswer OfError(core::ErrorKind aKind, std::string aDetail = {});
};

} // namespace fireflytrail::gateway
