#pragma once

#include "core/DaemonId.h"

#include <string>

namespace fireflytrail::wire {

/** First message on a connection, from the daemon that opened it. */
struct Hello
{
  core::DaemonId id;
  /** Address of the sender's peer port, `ip:port`. */
  std::string address;

  bool operator==(const Hello&) const = default;
};

} // namespace fireflytrail::wire
