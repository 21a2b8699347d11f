#pragma once

#include "Harness.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace fireflytrail::review {

/**
 * A stand-in for a server instance: echoes the id, refuses what is for another
 * instance or beyond its slots and queue, and tells its load. Use it only on
 * the context's thread.
 */
class Backend
{
public:
  /** How a request is run. */
  struct Run
  {
    Milliseconds work{ 30 };
    /** Whether the instance crashes when the work is done. */
    bool isCrash = false;
  };
  /** Called when the instance begins to work on a request. */
  using RunFunction =
    std::function<Run(Backend&, const soak::HttpRequest& aRequest)>;
  /** Called with each request that reaches the instance, before it decides.
   * Returns an answer to give instead, if there is one. */
  using ArriveFunction = std::function<std::optional<soak::HttpResponse>(
    Backend&,
    const soak::HttpRequest& aRequest)>;
  /** Adds fields to each answer. */
  using DecorateFunction =
    std::function<void(Backend&, soak::HttpResponse& aResponse)>;

  Backend(Harness& aHarness,
          std::string aService,
          std::string aZone,
          unsigned aNumber);
  ~Backend();

  /** Starts a new lifetime and registers it. */
  void Start();

  /** Ends as a crash does: connections are reset, the entry stays for three
   * report intervals. */
  void Crash();

  /** Sets how long the instance is cold after its next starts. */
  void SetColdTime(Milliseconds aTime) { this->coldTime = aTime; }

  /** Returns how much longer the instance is cold; 0 if it is warm. */
  Milliseconds ColdLeft() const;

  const std::string& Id() const { return this->id; }
  bool IsUp() const { return this->isUp; }

  RunFunction onRun;
  ArriveFunction onArrive;
  DecorateFunction decorate;

private:
  boost::asio::awaitable<std::optional<soak::HttpResponse>> Handle(
    soak::HttpRequest aRequest);
  boost::asio::awaitable<void> RemoveEntry(std::string aId);
  /** Writes the entry in each report interval while the instance is cold. */
  boost::asio::awaitable<void> ReportWhileCold();
  void Put();

  Harness& harness;
  std::string service;
  std::string zone;
  unsigned number;
  unsigned lifetime = 0;
  std::string id;
  std::uint64_t born = 0;
  bool isUp = false;
  Milliseconds coldTime{ 0 };
  TimePoint coldUntil{};
  unsigned running = 0;
  std::shared_ptr<soak::HttpService> http;
};

} // namespace fireflytrail::review
