#pragma once

#include "core/Result.h"
#include "store/ObjectRecord.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace fireflytrail::store {

/** Objects of one answer of the store. */
struct ObjectPage
{
  std::vector<ObjectRecord> objects;
  /** Whether a list goes on after the last object. */
  bool hasMore = false;
  /** Revision up to which the answer is complete. */
  std::uint64_t revision = 0;
};

/**
 * How calls for objects of a kind are written and read. All functions are set,
 * belong to no thread and do no I/O.
 */
struct ObjectDialect
{
  /** Returns the target that lists a kind after a name; empty for the start.
   * One that may be old costs less. */
  std::function<std::string(std::string_view aKind,
                            std::string_view aAfter,
                            bool aMayBeOld)>
    listTarget;
  /** Returns the target that waits for changes of a kind after a revision. */
  std::function<std::string(std::string_view aKind,
                            std::uint64_t aRevision,
                            std::chrono::milliseconds aWait)>
    watchTarget;
  /** Returns the target of the cheapest call that shows whether the store
   * answers; what it returns may be old. */
  std::function<std::string(std::string_view aKind)> pingTarget;
  /** Returns the target that replaces the status of an object. */
  std::function<std::string(std::string_view aKind, std::string_view aName)>
    statusTarget;
  /** Reads the answer to a list. */
  std::function<core::Result<ObjectPage>(std::string_view aKind,
                                         std::string_view aBody)>
    readList;
  /** Reads the answer to a watch. */
  std::function<core::Result<ObjectPage>(std::string_view aKind,
                                         std::string_view aBody)>
    readChanges;
};

} // namespace fireflytrail::store
