#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace fireflytrail::soak {

/** What callers and servers saw of each request, and the promises that it must
 * keep. Not thread-safe. */
class Ledger
{
public:
  /** How a request ended for its caller. */
  enum class End : std::uint8_t
  {
    Open,
    Success,
    /** An answer that promises that the request has not run and never will. */
    NotRun,
    Failure,
    /** The connection ended without a whole answer. */
    Cut,
  };

  /** Id of requests that are sent to see an answer's status only. */
  static constexpr const char* kProbeId = "probe";

  /** Notes that a caller sends a request; `aIsOnce` if it must not be repeated.
   */
  void Send(const std::string& aId, bool aIsOnce);

  /** Notes that a server begins to run a request; probes are left out. */
  void Run(const std::string& aId);

  /** Notes the end for the caller. */
  void Finish(const std::string& aId, End aEnd);

  /** Notes a broken promise that was seen directly. */
  void Break(std::string aWhat);

  /** Checks all requests; call when none is open any more. */
  void CheckAll();

  /** Returns the promises that were broken. */
  const std::vector<std::string>& Broken() const { return this->broken; }

  /** Returns the requests that ended in a way. */
  std::size_t Count(End aEnd) const;

private:
  struct Request
  {
    bool isOnce = false;
    unsigned runs = 0;
    End end = End::Open;
  };

  std::map<std::string, Request> requests;
  std::vector<std::string> broken;
};

} // namespace fireflytrail::soak
