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

/** Objects in one answer of the store: a page of a list, or watched changes. */
struct ObjectPage
{
  std::vector<ObjectRecord> objects;
  /** Whether the list continues on another page. */
  bool hasMore = false;
  /** Revision up to which the answer is complete. */
  std::uint64_t revision = 0;
};

/**
 * The platform's HTTP requests for objects: builds request targets and parses
 * answers. All functions must be set; they may be called from any thread and
 * perform no I/O.
 */
struct ObjectDialect
{
  /** Returns the target that lists the objects of a kind after the name
   * `aAfter`, or from the start if it is empty. A list that may be stale costs
   * less. */
  std::function<std::string(std::string_view aKind,
                            std::string_view aAfter,
                            bool aAllowStale)>
    listTarget;
  /** Returns the target that waits for changes of a kind after a revision. */
  std::function<std::string(std::string_view aKind,
                            std::uint64_t aRevision,
                            std::chrono::milliseconds aWait)>
    watchTarget;
  /** Returns the target of the cheapest request that shows whether the
   * store answers. The answer is a list that may be stale. */
  std::function<std::string(std::string_view aKind)> pingTarget;
  /** Returns the target that replaces the status of an object. */
  std::function<std::string(std::string_view aKind, std::string_view aName)>
    statusTarget;
  /** Header field of all answers with the era of the store; see
   * `StoreResponse::era`. */
  std::string eraField;
  /** Parses the answer to a list. */
  std::function<core::Result<ObjectPage>(std::string_view aKind,
                                         std::string_view aBody)>
    readList;
  /** Parses the answer to a watch. */
  std::function<core::Result<ObjectPage>(std::string_view aKind,
                                         std::string_view aBody)>
    readChanges;
};

} // namespace fireflytrail::store
