#include "platform/Adapter.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

// Guards against crashes of the readers of the platform's objects: pages of
// lists and changes, configurations, registrations of servers and rollouts.
extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  using namespace fireflytrail;
  static const proxy::PlatformAdapter kAdapter = platform::MakeAdapter();
  const std::string_view text(reinterpret_cast<const char*>(aData), aSize);
  for (const auto& read :
       { kAdapter.objects.readList, kAdapter.objects.readChanges }) {
    const auto page = read(kAdapter.kinds.instances, text);
    if (!page) {
      continue;
    }
    for (const store::ObjectRecord& object : page.value().objects) {
      (void)kAdapter.readConfiguration(object);
      (void)kAdapter.readInstance(object);
      (void)kAdapter.readRollout(object);
    }
  }
  return 0;
}
