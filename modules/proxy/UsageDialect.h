#pragma once

#include "store/StoreRequest.h"
#include "usage/ReportDutyHooks.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace fireflytrail::proxy {

/** The object in the store that keeps the duty to report usage. */
struct StoredDuty
{
  std::uint64_t revision = 0;
  std::string text;
};

/**
 * The platform's words for reports of usage and for the object of the duty. All
 * functions must be set, are thread-safe and perform no I/O.
 */
struct UsageDialect
{
  /** Target that reads and replaces the object. */
  std::string objectTarget;
  /** Target that creates the object. */
  std::string createTarget;
  /** Returns the body that writes the object, on condition of a revision if
   * there is one. */
  std::function<std::string(std::optional<std::uint64_t> aRevision,
                            std::string_view aText)>
    writeObject;
  /** Reads the object in an answer; nothing if there is none. */
  std::function<std::optional<StoredDuty>(std::string_view aBody)> readObject;
  /** Returns the request that reports a window. */
  std::function<store::StoreRequest(const usage::UsageReport&)> makeReport;
};

} // namespace fireflytrail::proxy
