#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace fireflytrail::usage {

/** Settings of the duty to report usage. */
struct ReportDutySettings
{
  /** Name of this daemon. */
  std::string holder;
  /** Random number of this process. */
  std::uint64_t process = 0;
  /** Length of a window. */
  std::chrono::milliseconds window{ 5000 };
  /** Time after the end of a window in which its report is due. */
  std::chrono::milliseconds late{ 10'000 };
  /** Time for which a lease holds after its last renewal. */
  std::chrono::milliseconds lease{ 3000 };
  /** Reports that the platform takes in a second. */
  double callsPerSecond = 1;
};

} // namespace fireflytrail::usage
