#pragma once

#include "soak/HttpService.h"

#include <boost/asio/awaitable.hpp>
#include <boost/json/value.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <random>
#include <string>

namespace fireflytrail::soak {

class FaultLink;
class RequestHistory;

/**
 * A stand-in for a backend server behind a `FaultLink`: runs requests up to a
 * limit, refuses more, and can crash, slow down and drain. Use it only on
 * the context's thread.
 */
class Server
{
public:
  Server(boost::asio::io_context& aContext,
         RequestHistory& aHistory,
         std::string aService,
         std::string aDomain,
         std::uint64_t aSeed);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /** Starts to listen as a new instance with a new id. */
  void Start();

  /** Stops as if the process crashed: running requests get no response. */
  void Crash();

  bool IsUp() const { return this->isUp; }

  /** Sets the factor by which the service time is multiplied. */
  void SetSlowdown(unsigned aFactor) { this->slowdown = aFactor; }

  /** Starts draining. A request that arrives after `aDeadline` is a violation.
   * This changes `Registration`, which must then be written to the store. */
  void Drain(std::chrono::steady_clock::time_point aDeadline);

  /** Removes the deadline of `Drain`; call if a fault may delay the daemons. */
  void WaiveDrainDeadline() { this->drainDeadline.reset(); }

  const std::string& Id() const { return this->id; }
  FaultLink& Link() { return *this->link; }

  /** Returns the `Spec` of the server's object in the store. */
  boost::json::value Registration() const;

private:
  boost::asio::awaitable<std::optional<HttpResponse>> Handle(
    HttpRequest aRequest);
  /** Sets the load report of a response. */
  void SetLoadHeader(HttpResponse& aResponse) const;

  boost::asio::io_context& context;
  RequestHistory& history;
  std::string service;
  std::string domain;
  std::mt19937_64 random;
  std::shared_ptr<HttpService> http;
  std::shared_ptr<FaultLink> link;
  std::string id;
  std::uint64_t createdAtMs = 0;
  bool isUp = false;
  unsigned slowdown = 1;
  unsigned running = 0;
  /** Incremented by each start and crash, so that a request that began before
   * gets no response. */
  unsigned generation = 0;
  std::optional<std::chrono::steady_clock::time_point> drainDeadline;
  bool isDraining = false;
};

} // namespace fireflytrail::soak
