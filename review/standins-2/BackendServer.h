#pragma once

#include "TcpServer.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

namespace fireflytrail::review {

class Connection;
class Recorder;
struct HttpMessage;

/**
 * An instance of a service. It works on each request for the time that the last
 * part of its path names in milliseconds, `/.../150`, and at most for the time
 * that the request leaves it. Thread-safe.
 */
class BackendServer
{
public:
  /** Called with a request that it may answer in another way; returns whether
   * it has. */
  using Spoiler = std::function<bool(Connection&, const HttpMessage&)>;

  /** A request that it began to work on. */
  struct Run
  {
    std::string id;
    std::string target;
  };

  /** `aRecorder` gets a line for each run. `aSpoiler` may be empty. */
  BackendServer(std::string aId,
                std::string aService,
                Recorder& aRecorder,
                Spoiler aSpoiler = {});

  const std::string& Id() const { return this->id; }

  /** Returns its entry in the store, with a state of `ready` or `draining`. */
  std::string Entry(const std::string& aState,
                    std::chrono::milliseconds aWarmup = {}) const;

  std::vector<Run> Runs();

private:
  void Serve(Connection& aConnection);
  bool ServeRequest(Connection& aConnection, const HttpMessage& aRequest);

  std::string id;
  std::string service;
  Recorder& recorder;
  Spoiler spoiler;
  std::uint64_t born;
  std::mutex mutex;
  std::vector<Run> runs;
  std::atomic<int> running = 0;
  TcpServer server;
};

} // namespace fireflytrail::review
