#include "gateway/CallAnswer.h"

#include "core/ErrorTable.h"

#include <fmt/format.h>

#include <utility>

namespace fireflytrail::gateway {

CallAnswer
CallAnswer::OfError(core::ErrorKind aKind, std::string aDetail)
{
  const core::ErrorRow& row = core::ErrorTable::RowOf(aKind);
  CallAnswer answer =
    OfText(row.status,
           aDetail.empty() ? fmt::format("{}\n", row.name)
                           : fmt::format("{}: {}\n", row.name, aDetail));
  answer.kind = aKind;
  return answer;
}

CallAnswer
CallAnswer::OfText(unsigned aStatus,
                   std::string aBody,
                   std::string aContentType)
{
  auto text = std::make_shared<calls::Answer>();
  text->status = aStatus;
  text->headers.emplace_back("Content-Type", std::move(aContentType));
  text->body = std::move(aBody);
  CallAnswer answer;
  answer.answer = std::move(text);
  return answer;
}

} // namespace fireflytrail::gateway
