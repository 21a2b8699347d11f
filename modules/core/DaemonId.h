#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace fireflytrail::core {

/**
 * Identity of one daemon process. The name comes from the settings; the start
 * identity is drawn at random at each process start, so that a restarted
 * daemon is not mistaken for the process that it replaces.
 */
struct DaemonId
{
  std::string name;
  std::uint64_t start = 0;

  // clang-tidy 14 takes the generated comparison with 0 for a null pointer.
  auto operator<=>(const DaemonId&) const =
    default; // NOLINT(modernize-use-nullptr)
};

} // namespace fireflytrail::core
