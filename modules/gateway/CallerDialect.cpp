#include "gateway/CallerDialect.h"

#include "core/ErrorTable.h"
#include "gateway/HttpFields.h"

#include <string>
#include <string_view>

namespace fireflytrail::gateway {

namespace http = boost::beast::http;

namespace {

std::string_view
MayResend(const core::ErrorRow& aRow, bool aIsSafe)
{
  const bool may =
    aRow.callerMayResend == core::ResendRule::Always ||
    (aRow.callerMayResend == core::ResendRule::IfSafe && aIsSafe);
  return may ? "yes" : "no";
}

std::optional<CallRequest>
ReadNativeRequest(const http::request_header<>& aHeader)
{
  CallRequest call;
  call.method = aHeader.method();
  const std::string_view target(aHeader.target().data(),
                                aHeader.target().size());
  if (call.method == http::verb::unknown || target.empty() ||
      target.front() != '/') {
    return std::nullopt;
  }
  const std::size_t end = target.find_first_of("/?", 1);
  call.service =
    target.substr(1, end == std::string_view::npos ? end : end - 1);
  call.target = end == std::string_view::npos ? "/" : target.substr(end);
  if (call.target.front() != '/') {
    call.target.insert(0, 1, '/');
  }
  bool isValid = true;
  if (const auto deadline =
        ParseNumberField(aHeader, kDeadlineField, isValid)) {
    call.deadline = std::chrono::milliseconds(*deadline);
  }
  call.attempt = ParseNumberField(aHeader, kAttemptField, isValid).value_or(0);
  call.depth = ParseNumberField(aHeader, kDepthField, isValid).value_or(0);
  if (!isValid) {
    return std::nullopt;
  }
  if (const auto ticket = aHeader.find(kTicketField); ticket != aHeader.end()) {
    call.ticket = std::string(ticket->value());
  }
  return call;
}

void
WriteNativeAnswer(http::response_header<>& aHeader, const CallAnswer& aAnswer)
{
  const core::ErrorRow& row = core::ErrorTable::RowOf(aAnswer.kind);
  aHeader.set(kOutcomeField, core::ErrorTable::NameOf(row.outcome));
  if (aAnswer.kind != core::ErrorKind::None) {
    aHeader.set(kErrorKindField, row.name);
    aHeader.set(kMayResendField, MayResend(row, aAnswer.isSafeToResend));
  }
}

} // namespace

std::shared_ptr<const CallerDialect>
CallerDialect::Native()
{
  static const auto kNative =
    std::make_shared<const CallerDialect>(CallerDialect{
      .readRequest = ReadNativeRequest, .writeAnswer = WriteNativeAnswer });
  return kNative;
}

} // namespace fireflytrail::gateway
