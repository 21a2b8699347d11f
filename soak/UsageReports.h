#pragma once

#include "soak/HttpService.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>

namespace fireflytrail::soak {

/**
 * A stand-in for the platform's address that takes reports of usage. Some
 * reports get 429, 503 or no answer, by a seed of its own. Use it only on the
 * context's thread.
 */
class UsageReports
{
public:
  /** `aReportViolation` receives each broken guarantee. */
  UsageReports(boost::asio::io_context& aContext,
               std::uint64_t aSeed,
               std::function<void(std::string)> aReportViolation);

  /** Starts to listen on a loopback port; returns the endpoint. */
  boost::asio::ip::tcp::endpoint Open();

  /** Returns the number of windows that were reported. */
  std::size_t WindowCount() const { return this->bodies.size(); }

private:
  boost::asio::awaitable<std::optional<HttpResponse>> Handle(
    HttpRequest aRequest);

  boost::asio::io_context& context;
  std::mt19937_64 random;
  std::function<void(std::string)> reportViolation;
  std::shared_ptr<HttpService> service;
  /** By window: the body of the first accepted report. */
  std::map<std::uint64_t, std::string> bodies;
  std::map<std::string, std::string> holderOfFence;
};

} // namespace fireflytrail::soak
