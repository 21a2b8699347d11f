#pragma once

#include "Connection.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace fireflytrail::review {

class Recorder;

/** A requester with a kept connection. One thread uses it at a time. */
class Caller
{
public:
  /** How a request ended for its requester. */
  struct Outcome
  {
    std::string id;
    /** Status of the complete answer; 0 if there was none. */
    unsigned status = 0;
    /** Whether the answer bears the signature of an instance. */
    bool isSigned = false;
    /** Whether the connection was closed without an answer. */
    bool isClosed = false;
    std::string text;
  };

  explicit Caller(Recorder& aRecorder);

  /** Opens the connection; returns whether that succeeded. */
  bool Connect(std::uint16_t aPort);

  /** Sends a request and waits for its answer. `aMethod` is the method,
   * `aTarget` the path, `aTimeout` the requester's time budget. */
  Outcome Send(const std::string& aMethod,
               const std::string& aTarget,
               std::chrono::milliseconds aTimeout);

private:
  Recorder& recorder;
  std::unique_ptr<Connection> connection;
};

} // namespace fireflytrail::review
