#pragma once

#include "standins/HttpServer.h"
#include "standins/InstanceSettings.h"
#include "standins/ServerFault.h"

#include <boost/asio/io_context.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace fireflytrail::standins {

class ServerInstance;

/**
 * All backend server instances of one process. Holds the faults that are
 * injected into them, counts how often each request was run, and has a control
 * port:
 *
 * - `POST /control` with one object `{"action": ..., ...}`. `id`, `service`,
 *   `version` and `domain` select instances; without a selector, all are
 *   selected.
 *   - `add`: `id` (prefix), `service`, `version`, `domain`, `region`, `count`
 *     and the other members of `InstanceSettings` (`slots`, `connections`,
 *     `queue_limit`, `service_time_us`, `connect_cost_us`, `probe_cost_us`,
 *     `warm_time_ms`, `fall_over_ms`, `cold`); answers `{hosts: [...]}`
 *     with entries for the platform's host list
 *   - `set`: changes those members of the selected instances
 *   - `crash`, `restart` (`cold`), `drain`, `shed` (`enabled`), `misreport`
 *     (`in_flight`, absent to report the true count again)
 *   - `faults`: replaces all faults by `faults: [...]`, with the members of
 *     `ServerFault` in snake case; `after` is `after_ms`
 *   - `crash_marker`: a request whose target or body contains `marker` crashes
 *     the instance that runs it; empty for none
 *   - `clear_record`
 * - `GET /control/record`: number of runs by request id
 * - `GET /control/instances`: state and counters of each instance
 */
class ServerFleet
{
public:
  /** Combined effect of the matching faults on one call. */
  struct FaultEffect
  {
    bool fails = false;
    bool failsFast = false;
    bool truncates = false;
    double slowFactor = 1;
  };

  /**
   * Opens the control port; instances listen on the same address. Throws if
   * the endpoint is not available.
   */
  ServerFleet(boost::asio::io_context& aContext,
              boost::asio::ip::tcp::endpoint aControl,
              std::uint64_t aSeed);

  ~ServerFleet();
  ServerFleet(const ServerFleet&) = delete;
  ServerFleet& operator=(const ServerFleet&) = delete;

  /** Returns the control port as `address:port`. */
  std::string ControlAddress() const;

  /** Adds an instance and returns its entry for the host list. */
  boost::json::object Add(InstanceSettings aSettings);

  /**
   * Applies a control object as `POST /control` does and returns the answer's
   * body. Throws `std::exception` for a bad object; nothing is changed then.
   */
  boost::json::object Control(const boost::json::object& aControl);

  /** Samples the effect of the faults on a call that arrives now. */
  FaultEffect SampleEffect(const InstanceSettings& aInstance,
                           const HttpRequest& aRequest,
                           unsigned aInFlight);

  /** Returns whether the request contains the crash marker. */
  bool HasCrashMarker(const HttpRequest& aRequest) const;

  /** Counts a run of a request; an empty id is not recorded. */
  void RecordRun(std::string_view aRequestId);

  /** Returns how often a request was run. */
  unsigned RunCountOf(const std::string& aRequestId) const;

private:
  void Handle(const std::shared_ptr<HttpExchange>& aExchange);
  boost::json::object AddFromControl(const boost::json::object& aControl);
  std::vector<ServerInstance*> SelectInstances(
    const boost::json::object& aControl);

  boost::asio::io_context& context;
  std::mt19937_64 generator;
  std::vector<std::unique_ptr<ServerInstance>> instances;
  std::vector<ServerFault> faults;
  std::string crashMarker;
  std::map<std::string, unsigned, std::less<>> runCounts;
  HttpServer server;
};

} // namespace fireflytrail::standins
