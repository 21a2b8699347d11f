#pragma once

#include "Harness.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace fireflytrail::review {

/**
 * An address of the store that answers lists with `AllowStale` from a copy that
 * is some seconds old, and passes everything else on to the store. Use it only
 * on the context's thread.
 */
class LaggingReplica
{
public:
  LaggingReplica(Harness& aHarness, Milliseconds aLag);
  ~LaggingReplica();

  /** Starts; returns the port. */
  std::uint16_t Open();

private:
  boost::asio::awaitable<void> Follow(std::string aKind);
  boost::asio::awaitable<std::optional<soak::HttpResponse>> Handle(
    soak::HttpRequest aRequest);
  boost::asio::awaitable<std::optional<soak::HttpResponse>> PassOn(
    soak::HttpRequest aRequest);

  Harness& harness;
  Milliseconds lag;
  std::shared_ptr<soak::HttpService> http;
  /** Lists of each kind with the times at which they were current. */
  std::map<std::string, std::deque<std::pair<TimePoint, soak::HttpResponse>>>
    copies;
};

} // namespace fireflytrail::review
