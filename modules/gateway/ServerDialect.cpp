#include "gateway/ServerDialect.h"

#include "gateway/HttpFields.h"

namespace fireflytrail::gateway {

namespace http = boost::beast::http;

namespace {

void
WriteNativeRequest(http::request_header<>& aHeader,
                   const CallRequest& aCall,
                   const ServerRequestInfo& aInfo)
{
  aHeader.set(http::field::host, aInfo.address);
  aHeader.set(kDeadlineField, std::to_string(aInfo.timeLeft.count()));
  aHeader.set(kAttemptField, std::to_string(aInfo.attempt));
  aHeader.set(kDepthField, std::to_string(aCall.depth + 1));
}

ServerReplyInfo
ReadNativeAnswer(http::response_header<>& aHeader, const CallRequest&)
{
  ServerReplyInfo info;
  const bool isRefusal =
    aHeader.result() == http::status::service_unavailable &&
    aHeader[kOutcomeField] == "not-run";
  info.reply = isRefusal ? ServerReply::Refusal : ServerReply::Answer;
  if (const auto load = aHeader.find(kServerLoadField); load != aHeader.end()) {
    info.loadText = std::string(load->value());
  }
  aHeader.erase(kServerLoadField);
  aHeader.erase(kOutcomeField);
  return info;
}

} // namespace

std::shared_ptr<const ServerDialect>
ServerDialect::Native()
{
  static const auto kNative = std::make_shared<const ServerDialect>(
    ServerDialect{ .writeRequest = WriteNativeRequest,
                   .readAnswer = ReadNativeAnswer,
                   .allowsUnframedAnswers = false });
  return kNative;
}

} // namespace fireflytrail::gateway
