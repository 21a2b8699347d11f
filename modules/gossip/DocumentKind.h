#pragma once

#include <cstdint>
#include <string_view>

namespace fireflytrail::gossip {

/** The versioned documents that daemons pass on to each other. */
enum class DocumentKind : std::uint8_t
{
  /** Everything that operators request. */
  DesiredState,
  /** The platform's list of live and leaving hosts. */
  HostList,
};

/** Returns the key of the record that holds a daemon's status of a document.
 * Thread-safe. */
constexpr std::string_view
RecordKeyOf(DocumentKind aKind)
{
  return aKind == DocumentKind::DesiredState ? "desired" : "hosts";
}

} // namespace fireflytrail::gossip
