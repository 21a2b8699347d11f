#include "Caller.h"

#include "Recorder.h"

#include <atomic>
#include <cstdio>

namespace fireflytrail::review {

using namespace std::chrono_literals;

namespace {

/** Returns a new id of 16 hexadecimal digits. */
std::string
NextId()
{
  static std::atomic<std::uint64_t> last = 0x9c41d07be2a30000;
  char text[17] = {};
  std::snprintf(
    text, sizeof(text), "%016llx", static_cast<unsigned long long>(++last));
  return text;
}

} // namespace

Caller::Caller(Recorder& aRecorder)
  : recorder(aRecorder)
{
}

bool
Caller::Connect(std::uint16_t aPort)
{
  this->connection = Connection::Open(aPort);
  return this->connection != nullptr;
}

Caller::Outcome
Caller::Send(const std::string& aMethod,
             const std::string& aTarget,
             std::chrono::milliseconds aTimeout)
{
  Outcome outcome;
  outcome.id = NextId();
  if (!this->connection) {
    outcome.text = "not connected";
    return outcome;
  }
  this->recorder.Write("requester sends " + outcome.id + " " + aMethod + " " +
                       aTarget);
  const std::string body = aMethod == "GET" ? "" : "a body";
  const bool isSent = this->connection->Write(
    aMethod + " " + aTarget + " HTTP/1.1\r\nHost: shop.example\r\n" +
    "X-Request-Id: " + outcome.id +
    "\r\nX-Request-Timeout-Ms: " + std::to_string(aTimeout.count()) +
    (body.empty() ? std::string()
                  : "\r\nContent-Length: " + std::to_string(body.size())) +
    "\r\n\r\n" + body);
  const auto answer = isSent ? this->connection->Read(aTimeout + 1s)
                             : std::optional<HttpMessage>();
  if (answer) {
    outcome.status = answer->Status();
    outcome.isSigned = !answer->Field("X-Response-Signature").empty();
    outcome.text =
      std::to_string(outcome.status) +
      (outcome.isSigned ? ", signed" : ", not signed: ") +
      (outcome.isSigned ? "" : answer->body.substr(0, answer->body.find('\n')));
  } else {
    outcome.isClosed =
      !isSent || this->connection->LastEnd() == Connection::End::Closed;
    outcome.text =
      outcome.isClosed ? "connection closed without an answer" : "no answer";
  }
  const bool isKept = answer && answer->Field("Connection") != "close";
  if (!isKept) {
    this->connection = nullptr;
  }
  this->recorder.Write("requester of " + outcome.id + " gets " + outcome.text);
  return outcome;
}

} // namespace fireflytrail::review
