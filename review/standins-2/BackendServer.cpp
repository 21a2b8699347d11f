#include "BackendServer.h"

#include "Connection.h"
#include "HttpMessage.h"
#include "Recorder.h"

#include <algorithm>
#include <cstdlib>
#include <thread>
#include <utility>

namespace fireflytrail::review {

using std::chrono::milliseconds;
using namespace std::chrono_literals;

namespace {

constexpr int kSlots = 4;
constexpr int kQueue = 8;
// One way between a daemon and an instance, as between two zones of the site
// (`cross_zone_ms`).
constexpr auto kLinkDelay = 500us;

} // namespace

BackendServer::BackendServer(std::string aId,
                             std::string aService,
                             Recorder& aRecorder,
                             Spoiler aSpoiler)
  : id(std::move(aId))
  , service(std::move(aService))
  , recorder(aRecorder)
  , spoiler(std::move(aSpoiler))
  , born(static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(
        std::chrono::system_clock::now().time_since_epoch())
        .count()))
  , server([this](Connection& aConnection) { this->Serve(aConnection); })
{
}

std::string
BackendServer::Entry(const std::string& aState, milliseconds aWarmup) const
{
  return R"({"Address":"127.0.0.1:)" + std::to_string(this->server.Port()) +
         R"(","Info":{"Service":")" + this->service +
         R"(","Version":"v1","Zone":"zone-a","MaxConcurrency":)" +
         std::to_string(kSlots) + R"(},"Status":{"State":")" + aState +
         R"(","Sequence":1,"WarmupRemainingMs":)" +
         std::to_string(aWarmup.count()) + R"(},"born":)" +
         std::to_string(this->born) + "}";
}

std::vector<BackendServer::Run>
BackendServer::Runs()
{
  const std::lock_guard lock(this->mutex);
  return this->runs;
}

void
BackendServer::Serve(Connection& aConnection)
{
  while (const auto request = aConnection.Read(10s)) {
    std::this_thread::sleep_for(kLinkDelay);
    if (!this->ServeRequest(aConnection, *request)) {
      return;
    }
  }
}

bool
BackendServer::ServeRequest(Connection& aConnection,
                            const HttpMessage& aRequest)
{
  const std::string load =
    "X-Instance-Load: " + std::to_string(std::min(this->running.load(), 4)) +
    ",0," + std::to_string(kSlots) + "\r\n";
  if (aRequest.Target() == "/health") {
    return aConnection.Write("HTTP/1.1 200 OK\r\nX-Instance-Id: " + this->id +
                             "\r\n" + load + "Content-Length: 0\r\n\r\n");
  }
  const std::string requestId = aRequest.Field("X-Request-Id");
  const std::string echo = "X-Request-Id: " + requestId + "\r\n";
  if (aRequest.Field("X-Target-Instance") != this->id) {
    return aConnection.Write("HTTP/1.1 421 Misdirected Request\r\n" + echo +
                             "X-Instance-Id: " + this->id +
                             "\r\nContent-Length: 0\r\n\r\n");
  }
  if (this->running >= kSlots + kQueue) {
    return aConnection.Write("HTTP/1.1 503 Service Unavailable\r\n" + echo +
                             "X-Not-Executed: 1\r\n" + load +
                             "Content-Length: 0\r\n\r\n");
  }
  {
    const std::lock_guard lock(this->mutex);
    this->runs.push_back({ requestId, aRequest.Target() });
  }
  const std::string limit = aRequest.Field("X-Request-Timeout-Ms");
  this->recorder.Write("instance " + this->id + " runs " + requestId + " " +
                       aRequest.Target() + ", may take " + limit + " ms");
  if (this->spoiler && this->spoiler(aConnection, aRequest)) {
    return true;
  }
  ++this->running;
  const std::string target = aRequest.Target();
  const milliseconds work(
    std::strtoul(target.c_str() + target.rfind('/') + 1, nullptr, 10));
  const milliseconds allowed(std::strtoul(limit.c_str(), nullptr, 10));
  const bool isCut = aConnection.WaitForClose(std::min(work, allowed));
  --this->running;
  if (isCut) {
    this->recorder.Write("instance " + this->id + " is cut off while it runs " +
                         requestId);
    return false;
  }
  std::this_thread::sleep_for(kLinkDelay);
  const bool isDone = work <= allowed;
  const std::string body = isDone ? "done " + requestId : "too late";
  return aConnection.Write(
    (isDone ? "HTTP/1.1 200 OK\r\n" : "HTTP/1.1 504 Gateway Timeout\r\n") +
    echo + "X-Response-Signature: " + this->id + "." + requestId + "\r\n" +
    load + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
    body);
}

} // namespace fireflytrail::review
