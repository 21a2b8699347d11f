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
class Ledger;

/**
 * A stand-in of a backend server behind a `FaultLink`: runs requests in a few
 * slots, refuses beyond them, and can crash, slow down and drain. Belongs to
 * the context's thread.
 */
class Server
{
public:
  Server(boost::asio::io_context& aContext,
         Ledger& aLedger,
         std::string aService,
         std::string aDomain,
         std::uint64_t aSeed);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /** Starts a new process with a new id. */
  void Start();

  /** Ends the process without an answer to what it runs. */
  void Crash();

  bool IsUp() const { return this->isUp; }

  /** Sets how many times as long work takes. */
  void SetSlowdown(unsigned aFactor) { this->slowdown = aFactor; }

  /** Says that it is leaving; requests after `aDeadline` break a promise. */
  void Drain(std::chrono::steady_clock::time_point aDeadline);

  /** Takes back the bound of `Drain`: a fault excuses the daemons. */
  void ExcuseDrain() { this->drainDeadline.reset(); }

  const std::string& Id() const { return this->id; }
  FaultLink& Link() { return *this->link; }

  /** Returns what the server registers in the store. */
  boost::json::value Registration() const;

private:
  boost::asio::awaitable<std::optional<HttpResponse>> Handle(
    HttpRequest aRequest);
  void AddLoad(HttpResponse& aResponse) const;

  boost::asio::io_context& context;
  Ledger& ledger;
  std::string service;
  std::string domain;
  std::mt19937_64 random;
  std::shared_ptr<HttpService> http;
  std::shared_ptr<FaultLink> link;
  std::string id;
  std::uint64_t born = 0;
  bool isUp = false;
  unsigned slowdown = 1;
  unsigned running = 0;
  /** Grows with each start. */
  unsigned generation = 0;
  std::optional<std::chrono::steady_clock::time_point> drainDeadline;
  bool isDraining = false;
};

} // namespace fireflytrail::soak
