#include "calls/RequestDigest.h"

#include "core/Hash.h"

namespace fireflytrail::calls {

std::uint64_t
RequestDigest(std::string_view aMethod,
              std::string_view aTarget,
              std::string_view aBody)
{
  return core::HashOf(aBody, core::HashOf(aTarget, core::HashOf(aMethod)));
}

} // namespace fireflytrail::calls
