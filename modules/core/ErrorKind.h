#pragma once

#include <cstdint>

namespace fireflytrail::core {

/**
 * All reasons for which a call can end without the server's own answer.
 * `ErrorTable` maps each kind to the answer that the caller gets. The issuer of
 * a ticket is the daemon process that issued it.
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
  // Not sent between daemons, which limit the kinds that they take.
  CallerClosed,
  RequestTimeout,
  UnknownKey,
};

} // namespace fireflytrail::core
