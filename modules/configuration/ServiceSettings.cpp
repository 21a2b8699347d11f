#include "configuration/ServiceSettings.h"

#include <algorithm>

namespace fireflytrail::configuration {

const CallSettings*
ServiceSettings::FindRoute(std::string_view aMethod,
                           std::string_view aPath) const
{
  const auto found =
    std::ranges::find_if(this->calls, [&](const CallSettings& aCall) {
      return aCall.method == aMethod && aCall.path == aPath;
    });
  return found == this->calls.end() ? nullptr : &*found;
}

const CallSettings*
ServiceSettings::FindCall(std::string_view aName) const
{
  const auto found = std::ranges::find(this->calls, aName, &CallSettings::name);
  return found == this->calls.end() ? nullptr : &*found;
}

} // namespace fireflytrail::configuration
