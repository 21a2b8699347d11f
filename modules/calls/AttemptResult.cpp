#include "calls/AttemptResult.h"

namespace fireflytrail::calls {

core::ErrorKind
KindOf(AttemptProgress aProgress)
{
  switch (aProgress) {
    case AttemptProgress::NothingSent:
      return core::ErrorKind::ConnectFailed;
    case AttemptProgress::Refused:
      return core::ErrorKind::ServerRefused;
    case AttemptProgress::SentNoAnswer:
      return core::ErrorKind::ConnectionLost;
    case AttemptProgress::AnswerTruncated:
      return core::ErrorKind::AnswerTruncated;
    case AttemptProgress::AnswerInvalid:
      return core::ErrorKind::AnswerInvalid;
    case AttemptProgress::Answered:
      return core::ErrorKind::None;
  }
  return core::ErrorKind::Internal;
}

bool
MayHaveRun(AttemptProgress aProgress)
{
  return aProgress != AttemptProgress::NothingSent &&
         aProgress != AttemptProgress::Refused;
}

} // namespace fireflytrail::calls
