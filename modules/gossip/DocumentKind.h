#pragma once

#include <cstdint>
#include <string_view>

namespace fireflytrail::gossip {

/** The versioned documents that daemons distribute to each other. */
enum class DocumentKind : std::uint8_t
{
  /** Everything that operators request. */
  DesiredState,
  /** The platform's list of live and leaving hosts. */
  HostList,
};

/**
 * Returns the key of the record in which a daemon publishes its status for a
 * document. Thread-safe.
 */
constexpr std::string_view
RecordKeyOf(DocumentKind aKind)
{
  return aKind == DocumentKind::DesiredState ? "desired" : "hosts";
}

} // namespace fireflytrail::gossip
