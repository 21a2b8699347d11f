#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace fireflytrail::soak {

/**
 * Records what callers and servers observed of each request, and checks it
 * against the guarantees for callers. Not thread-safe.
 */
class RequestHistory
{
public:
  /** How a request ended for its caller. */
  enum class Outcome : std::uint8_t
  {
    /** The request has not ended yet. */
    Open,
    Success,
    /** The response states that the request has not run and never will. */
    NotRun,
    /** The response states that the key is not valid. */
    Denied,
    /** Any other complete response. */
    Failure,
    /** The connection ended without a complete response. */
    ConnectionLost,
    /** The caller closed its connection before the response. */
    Abandoned,
  };

  /** Prefix of the ids of requests that are sent only to read the status of
   * the response; the address of the daemon follows. */
  static constexpr std::string_view kProbePrefix = "probe-";

  /** Records that a caller sends a request to the daemon at `aDaemon`, which is
   * empty if there is only one; `aIsAtMostOnce` if it must not run more than
   * once. */
  void RecordSend(const std::string& aId,
                  bool aIsAtMostOnce,
                  const std::string& aDaemon = {});

  /** Records that a request has been passed on to a server, whether or not the
   * server runs it. */
  void RecordArrival(const std::string& aId, const std::string& aServer);

  /** Records that a server starts to run a request. Ignores probes; reports an
   * id that no caller has sent. */
  void RecordRun(const std::string& aId);

  /** Returns the address of the daemon to which a request was sent; empty if no
   * caller has sent it. */
  std::string DaemonOf(const std::string& aId) const;

  /** Returns the ids of the servers to which a request has been passed on. */
  std::vector<std::string> ServersOf(const std::string& aId) const;

  /** Records how a request that was sent ended for its caller. */
  void RecordOutcome(const std::string& aId, Outcome aOutcome);

  /** Adds a violation of a guarantee. */
  void ReportViolation(std::string aDescription);

  /** Checks all requests and adds their violations. Call once, at the end of
   * the run. */
  void CheckAll();

  /** Returns a description of each violation. */
  const std::vector<std::string>& Violations() const
  {
    return this->violations;
  }

  /** Returns the number of requests whose outcome is `aOutcome`. */
  std::size_t Count(Outcome aOutcome) const;

private:
  struct Request
  {
    bool isAtMostOnce = false;
    std::string daemon;
    std::vector<std::string> servers;
    /** Number of times that servers started to run the request. */
    unsigned runs = 0;
    Outcome outcome = Outcome::Open;
  };

  std::map<std::string, Request> requests;
  std::vector<std::string> violations;
};

} // namespace fireflytrail::soak
