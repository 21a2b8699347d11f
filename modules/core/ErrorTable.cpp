#include "core/ErrorTable.h"

#include <array>
#include <cassert>

namespace fireflytrail::core {

namespace {

using enum CallOutcome;

constexpr std::array kRows{
  ErrorRow{ ErrorKind::None,
            "none",
            0,
            Complete,
            ResendRule::Never,
            RetryRule::Never },
  ErrorRow{ ErrorKind::BadRequest,
            "bad_request",
            400,
            NotRun,
            ResendRule::Never,
            RetryRule::Never },
  ErrorRow{ ErrorKind::HeaderTooLarge,
            "header_too_large",
            431,
            NotRun,
            ResendRule::Never,
            RetryRule::Never },
  ErrorRow{ ErrorKind::BodyTooLarge,
            "body_too_large",
            413,
            NotRun,
            ResendRule::Never,
            RetryRule::Never },
  ErrorRow{ ErrorKind::UnknownService,
            "unknown_service",
            404,
            NotRun,
            ResendRule::Never,
            RetryRule::Never },
  ErrorRow{ ErrorKind::UnknownCall,
            "unknown_call",
            404,
            NotRun,
            ResendRule::Never,
            RetryRule::Never },
  ErrorRow{ ErrorKind::TicketRequired,
            "ticket_required",
            428,
            NotRun,
            ResendRule::Never,
            RetryRule::Never },
  ErrorRow{ ErrorKind::TicketInvalid,
            "ticket_invalid",
            400,
            Unknown,
            ResendRule::Never,
            RetryRule::Never },
  ErrorRow{ ErrorKind::TicketMismatch,
            "ticket_mismatch",
            409,
            NotRun,
            ResendRule::Never,
            RetryRule::Never },
  ErrorRow{ ErrorKind::TicketExpired,
            "ticket_expired",
            410,
            Unknown,
            ResendRule::Never,
            RetryRule::Never },
  ErrorRow{ ErrorKind::TicketAnswerDropped,
            "ticket_answer_dropped",
            410,
            Unknown,
            ResendRule::Never,
            RetryRule::Never },
  ErrorRow{ ErrorKind::IssuerUnreachable,
            "issuer_unreachable",
            502,
            Unknown,
            ResendRule::Always,
            RetryRule::Never },
  ErrorRow{ ErrorKind::IssuerGone,
            "issuer_gone",
            410,
            Unknown,
            ResendRule::Never,
            RetryRule::Never },
  ErrorRow{ ErrorKind::NoConfiguration,
            "no_configuration",
            503,
            NotRun,
            ResendRule::Always,
            RetryRule::Never },
  ErrorRow{ ErrorKind::NoServer,
            "no_server",
            503,
            NotRun,
            ResendRule::Always,
            RetryRule::Never },
  ErrorRow{ ErrorKind::Overloaded,
            "overloaded",
            503,
            NotRun,
            ResendRule::Always,
            RetryRule::Never },
  ErrorRow{ ErrorKind::DependencyUnavailable,
            "dependency_unavailable",
            503,
            NotRun,
            ResendRule::Always,
            RetryRule::Never },
  ErrorRow{ ErrorKind::Stopping,
            "stopping",
            503,
            NotRun,
            ResendRule::Always,
            RetryRule::Never },
  ErrorRow{ ErrorKind::ConnectFailed,
            "connect_failed",
            503,
            NotRun,
            ResendRule::Always,
            RetryRule::Always },
  ErrorRow{ ErrorKind::ServerRefused,
            "server_refused",
            503,
            NotRun,
            ResendRule::Always,
            RetryRule::Always },
  ErrorRow{ ErrorKind::DeadlineBeforeSend,
            "deadline_before_send",
            504,
            NotRun,
            ResendRule::Always,
            RetryRule::Never },
  ErrorRow{ ErrorKind::DeadlineAfterSend,
            "deadline_after_send",
            504,
            Unknown,
            ResendRule::IfSafe,
            RetryRule::Never },
  ErrorRow{ ErrorKind::ConnectionLost,
            "connection_lost",
            502,
            Unknown,
            ResendRule::IfSafe,
            RetryRule::IfRepeatable },
  ErrorRow{ ErrorKind::AnswerTruncated,
            "answer_truncated",
            502,
            Unknown,
            ResendRule::IfSafe,
            RetryRule::IfRepeatable },
  ErrorRow{ ErrorKind::AnswerInvalid,
            "answer_invalid",
            502,
            Unknown,
            ResendRule::IfSafe,
            RetryRule::Never },
  ErrorRow{ ErrorKind::RequestCrashesServers,
            "request_crashes_servers",
            422,
            Unknown,
            ResendRule::Never,
            RetryRule::Never },
  ErrorRow{ ErrorKind::CallerGone,
            "caller_gone",
            499,
            Unknown,
            ResendRule::Never,
            RetryRule::Never },
  ErrorRow{ ErrorKind::Internal,
            "internal",
            500,
            Unknown,
            ResendRule::IfSafe,
            RetryRule::Never },
  ErrorRow{ ErrorKind::CallerClosed,
            "caller_closed",
            503,
            NotRun,
            ResendRule::Always,
            RetryRule::Never },
  ErrorRow{ ErrorKind::RequestTimeout,
            "request_timeout",
            408,
            NotRun,
            ResendRule::Always,
            RetryRule::Never },
  ErrorRow{ ErrorKind::UnknownKey,
            "unknown_key",
            401,
            NotRun,
            ResendRule::Never,
            RetryRule::Never },
};

constexpr bool
RowsFollowEnumeration()
{
  for (std::size_t index = 0; index < kRows.size(); ++index) {
    if (static_cast<std::size_t>(kRows[index].kind) != index) {
      return false;
    }
  }
  return kRows.size() == static_cast<std::size_t>(ErrorKind::UnknownKey) + 1;
}

static_assert(RowsFollowEnumeration());

} // namespace

const ErrorRow&
ErrorTable::RowOf(ErrorKind aKind)
{
  const auto index = static_cast<std::size_t>(aKind);
  assert(index < kRows.size());
  return kRows[index];
}

std::span<const ErrorRow>
ErrorTable::Rows()
{
  return kRows;
}

std::string_view
ErrorTable::NameOf(CallOutcome aOutcome)
{
  switch (aOutcome) {
    case Complete:
      return "complete";
    case NotRun:
      return "not-run";
    case Unknown:
      break;
  }
  return "unknown";
}

} // namespace fireflytrail::core
