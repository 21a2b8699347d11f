#pragma once

#include "standins/HttpServer.h"
#include "standins/PlatformSettings.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>

namespace fireflytrail::standins {

/**
 * Stand-in for the platform: the object API with versions, conditional updates
 * and watches, the host list, and rate limits. `POST /control` injects faults
 * and changes the host list; its keys, all optional, are
 *
 * - `down` (bool): answers 503 to all requests except `/control`, ends watches
 * - `silent` (bool): accepts requests and never answers them
 * - `delay_ms`: delays answers, except to invalid requests and to watches that
 *   time out; reads and writes take effect when the request arrives
 * - `delay_reads` (`{count, ms}`): delays only the next `count` reads, in
 *   addition to `delay_ms`
 * - `lose_write_answers` (count, -1 for all): applies the next writes, then
 *   closes the connection without an answer
 * - `list_lag_ms`: staleness of the host list that is served
 * - `read_limit`, `write_limit`: calls per second
 * - `add_hosts` (entries, replacing those with the same id), `remove_hosts`,
 *   `leaving_hosts`, `live_hosts` (ids)
 *
 * `GET /control/counts` returns `{reads, writes, watches, limited}`.
 */
class PlatformStandin
{
public:
  /** Opens the port. Throws if the endpoint is not available. */
  PlatformStandin(boost::asio::io_context& aContext,
                  boost::asio::ip::tcp::endpoint aEndpoint,
                  PlatformSettings aSettings = {});

  PlatformStandin(const PlatformStandin&) = delete;
  PlatformStandin& operator=(const PlatformStandin&) = delete;

  /** Returns `address:port`. */
  std::string Address() const;

  /**
   * Applies a control object as `POST /control` does. Returns an empty string
   * on success, or an error message if the object is invalid; nothing is
   * changed then.
   */
  std::string Control(const boost::json::object& aControl);

private:
  using Clock = std::chrono::steady_clock;

  struct Object
  {
    std::string body;
    std::uint64_t version = 0;
  };

  struct Watch
  {
    std::string key;
    std::uint64_t version = 0;
    std::shared_ptr<HttpExchange> exchange;
    std::shared_ptr<boost::asio::steady_timer> timer;
  };

  /** Token bucket that allows bursts of up to one second's worth of calls. */
  struct TokenBucket
  {
    double limit;
    double tokens;
    Clock::time_point refilledAt;
    bool TryConsume(Clock::time_point aNow);
  };

  struct HostList
  {
    Clock::time_point publishedAt;
    std::uint64_t version = 0;
    boost::json::object hosts;
  };

  void Handle(const std::shared_ptr<HttpExchange>& aExchange);
  void HandleControl(const std::shared_ptr<HttpExchange>& aExchange);
  void HandleObject(const std::shared_ptr<HttpExchange>& aExchange);
  void Write(const std::shared_ptr<HttpExchange>& aExchange,
             const std::string& aKey);
  void StartWatch(const std::shared_ptr<HttpExchange>& aExchange,
                  const std::string& aKey,
                  std::uint64_t aVersion,
                  std::chrono::milliseconds aTimeout);
  void CompleteWatches(const std::string& aKey);
  HttpResponse ObjectResponse(const std::string& aKey) const;
  HttpResponse HostListResponse(std::string_view aTarget) const;
  void RespondAfter(const std::shared_ptr<HttpExchange>& aExchange,
                    HttpResponse aResponse,
                    std::chrono::milliseconds aDelay);
  std::chrono::milliseconds NextReadDelay();
  void ApplyHostChanges(const boost::json::object& aControl);

  boost::asio::io_context& context;
  PlatformSettings settings;
  std::map<std::string, Object> objects;
  std::map<std::uint64_t, Watch> watches;
  std::uint64_t nextWatchId = 1;
  std::deque<HostList> hostLists;
  TokenBucket readBucket;
  TokenBucket writeBucket;
  bool down = false;
  bool silent = false;
  std::chrono::milliseconds delay{ 0 };
  std::int64_t readsToDelay = 0;
  std::chrono::milliseconds readDelay{ 0 };
  std::int64_t writeAnswersToLose = 0;
  std::chrono::milliseconds listLag{ 0 };
  std::uint64_t readCount = 0;
  std::uint64_t writeCount = 0;
  std::uint64_t watchCount = 0;
  std::uint64_t rateLimitedCount = 0;
  HttpServer server;
};

} // namespace fireflytrail::standins
