#include "gateway/CallAnswer.h"

#include "core/ErrorTable.h"

#include <fmt/format.h>

namespace fireflytrail::gateway {

CallAnswer
CallAnswer::OfError(core::ErrorKind aKind, std::string aDetail)
{
  const core::ErrorRow& row = core::ErrorTable::RowOf(aKind);
  CallAnswer answer;
  answer.kind = aKind;
  answer.status = row.status;
  answer.fields.set(boost::beast::http::field::content_type, "text/plain");
  answer.body = aDetail.empty() ? fmt::format("{}\n", row.name)
                                : fmt::format("{}: {}\n", row.name, aDetail);
  return answer;
}

} // namespace fireflytrail::gateway
