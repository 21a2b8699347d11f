#pragma once

#include <cstdint>

namespace fireflytrail::core {

/**
 * The closed list of reasons for which a call ends without the server's own
 * answer. `ErrorTable` maps each kind to the answer that the caller gets.
 */
enum class ErrorKind : std::uint8_t
{
  None,
  BadRequest,
  HeaderTooLarge,
  BodyTooLarge,
  UnknownService,
  UnknownCall,
  TicketRequired,
  TicketInvalid,
  TicketMismatch,
  TicketExpired,
  TicketAnswerDropped,
  IssuerUnreachable,
  IssuerGone,
  NoConfiguration,
  NoServer,
  Overloaded,
  DependencyUnavailable,
  Stopping,
  ConnectFailed,
  ServerRefused,
  DeadlineBeforeSend,
  DeadlineAfterSend,
  ConnectionLost,
  AnswerTruncated,
  AnswerInvalid,
  RequestCrashesServers,
  CallerGone,
  Internal,
};

} // namespace fireflytrail::core
