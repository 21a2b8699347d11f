#include "gateway/CallerConnectionEnd.h"

#include "core/Log.h"

#include <string_view>

namespace fireflytrail::gateway {

namespace {

std::string_view
NameOf(CallerConnectionEnd::Stage aStage)
{
  using enum CallerConnectionEnd::Stage;
  switch (aStage) {
    case Head:
      return "head";
    case Body:
      return "body";
    case Running:
      return "running";
    case Answer:
      return "answer";
  }
  return {};
}

std::string_view
NameOf(CallerConnectionEnd::Closer aCloser)
{
  using enum CallerConnectionEnd::Closer;
  switch (aCloser) {
    case Caller:
      return "caller";
    case Daemon:
      return "daemon";
    case TimeLimit:
      return "time_limit";
    case Stop:
      return "stop";
    case Error:
      return "error";
  }
  return {};
}

} // namespace

void
CallerConnectionEnd::WriteTo(const core::Log& aLog) const
{
  aLog.Write(
    core::LogLevel::Info,
    "caller_connection_ended",
    { { "id", this->id },
      { "stage", NameOf(this->stage) },
      { "closed_by", NameOf(this->closer) },
      { "elapsed_ms",
        std::chrono::duration_cast<std::chrono::milliseconds>(this->elapsed)
          .count() } });
}

} // namespace fireflytrail::gateway
