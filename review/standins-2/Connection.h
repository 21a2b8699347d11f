#pragma once

#include "HttpMessage.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace fireflytrail::review {

/** A blocking TCP connection on 127.0.0.1. One thread uses it at a time. */
class Connection
{
public:
  /** Why the last `Read` returned nothing. */
  enum class End : std::uint8_t
  {
    None,
    TimedOut,
    /** The peer closed or reset the connection. */
    Closed,
  };

  /** Takes ownership of an open socket. */
  explicit Connection(int aDescriptor);
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /** Connects to a port; null if that fails. */
  static std::unique_ptr<Connection> Open(std::uint16_t aPort);

  /** Sends all bytes; returns false if the connection has ended. */
  bool Write(std::string_view aBytes);

  /** Reads a message whose body, if any, has a length. A message that the peer
   * ends before it is complete counts as none. */
  std::optional<HttpMessage> Read(std::chrono::milliseconds aTimeout);

  End LastEnd() const { return this->end; }

  /** Waits until the peer closes, for a time at most; returns whether it has.
   */
  bool WaitForClose(std::chrono::milliseconds aTimeout);

private:
  bool Fill(std::chrono::steady_clock::time_point aUntil);

  int descriptor;
  std::string received;
  End end = End::None;
};

} // namespace fireflytrail::review
