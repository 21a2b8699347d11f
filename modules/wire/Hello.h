#pragma once

#include "core/DaemonId.h"

#include <string>

namespace fireflytrail::wire {

/** First message in both directions of a connection. */
struct Hello
{
  core::DaemonId id;
  /** Address of the sender's peer port, `ip:port`. */
  std::string address;

  bool operator==(const Hello&) const = default;
};

} // namespace fireflytrail::wire
