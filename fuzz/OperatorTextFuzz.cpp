#include "configuration/DaemonSettings.h"
#include "configuration/DesiredState.h"
#include "configuration/OperatorText.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

// Guards against crashes of the parsers of operators' texts, settings files and
// desired states from the store.
extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  const std::string_view text(reinterpret_cast<const char*>(aData), aSize);
  (void)fireflytrail::configuration::OperatorText::Parse(text);
  (void)fireflytrail::configuration::DaemonSettings::Parse(text);
  (void)fireflytrail::configuration::DesiredState::Parse(text);
  return 0;
}
