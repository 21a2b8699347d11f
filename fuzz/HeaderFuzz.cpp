#include "calls/Ticket.h"
#include "daemon/GossipRecords.h"
#include "routing/LoadReport.h"
#include "store/HostList.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

// Guards against crashes of the parsers of short values that servers, callers,
// the platform and other daemons send: load reports, tickets, host lists and
// gossip records.
extern "C" int
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  using namespace fireflytrail;
  const std::string_view text(reinterpret_cast<const char*>(aData), aSize);
  (void)routing::LoadReport::Parse(text);
  (void)calls::Ticket::Parse(text);
  (void)store::HostList::Parse(text);
  (void)daemon::GossipRecords::ParseHealth("health.0", text);
  (void)daemon::GossipRecords::ParseCrashes("crashes", text);
  (void)daemon::GossipRecords::ParseIdle(text);
  return 0;
}
