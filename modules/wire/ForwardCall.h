#pragma once

#include "wire/Header.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace fireflytrail::wire {

/** A complete call, forwarded to the daemon that issued its ticket. */
struct ForwardCall
{
  /** Matches the answer to the call; unique on its connection. */
  std::uint64_t requestId = 0;
  std::string ticket;
  std::string service;
  std::string method;
  std::string target;
  std::vector<Header> headers;
  std::string body;
  /** Time left until the call's deadline. */
  std::chrono::milliseconds deadline{ 0 };
  /** Above 0 if this call, or a call upstream of it, is a retry. */
  std::uint32_t attempt = 0;
  std::uint32_t callDepth = 0;

  bool operator==(const ForwardCall&) const = default;
};

} // namespace fireflytrail::wire
