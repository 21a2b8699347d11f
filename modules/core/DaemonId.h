#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace fireflytrail::core {

/**
 * Identity of one daemon process. The name comes from the settings. `start` is
 * a random number drawn at each process start; it distinguishes a restarted
 * daemon from the process that it replaces.
 */
struct DaemonId
{
  std::string name;
  std::uint64_t start = 0;

  // clang-tidy 14 reports the 0 in the generated comparison as a null pointer.
  auto operator<=>(const DaemonId&) const =
    default; // NOLINT(modernize-use-nullptr)
};

} // namespace fireflytrail::core
