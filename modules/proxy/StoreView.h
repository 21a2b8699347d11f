#pragma once

#include "core/Hooks.h"
#include "core/Log.h"
#include "proxy/OlderCopyHold.h"
#include "proxy/PlatformAdapter.h"
#include "routing/HttpRouteTable.h"
#include "routing/KeyTable.h"
#include "routing/ServiceDirectory.h"
#include "store/ObjectRecord.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace fireflytrail::proxy {

/**
 * The state that a daemon derives from the store's objects: the current routes,
 * the instances, the failure domains that are out and the orders to move
 * services to versions. Objects come from the daemon's own reads or from other
 * daemons. Each change is logged in one line with the revision of its
 * object.
 * Not thread-safe.
 */
class StoreView
{
public:
  /** The adapter and the log must outlive this object. `aReportInterval` is the
   * time between two reports of an instance to the store. Unless
   * `aLogsEachInstance` is set, an update with many instances is one line.
   * `aKeySeed` is the secret seed of `KeyTable`. */
  StoreView(const PlatformAdapter& aPlatform,
            const core::Log& aLog,
            core::NowFunction aNow,
            std::chrono::milliseconds aReportInterval,
            bool aLogsEachInstance,
            std::uint64_t aKeySeed);
  StoreView(const StoreView&) = delete;
  StoreView& operator=(const StoreView&) = delete;

  /**
   * Applies changed objects of a kind, including deleted ones. Objects of
   * unknown kinds are ignored. Unreadable objects are logged and not used; an
   * instance whose object is unreadable is removed.
   */
  void Apply(const std::string& aKind,
             const std::vector<store::ObjectRecord>& aObjects);

  /**
   * Records that the store came back from an older copy: the objects of the
   * kind that are applied next are those of the copy. What they would undo
   * stays in force until it is written again, for a limited time; see
   * `OlderCopyHold`, `ServiceDirectory::PutFromOlderCopy` and
   * `ServiceDirectory::PutRolloutAgain`. A configuration never gives way to an
   * earlier version.
   */
  void OnOlderCopy(const std::string& aKind);

  /** Returns when `ApplyDue` next has an effect, if it has one. */
  std::optional<core::TimePoint> NextDue() const;

  /** Applies what has been held back for its whole time, and removes instances
   * whose grace period is over. Returns whether any instance was removed. */
  bool ApplyDue();

  /** Returns the current routes; null before the first configuration. */
  const std::shared_ptr<const routing::HttpRouteTable>& Routes() const
  {
    return this->routes;
  }

  /** Returns the keys of the current configuration; null before the first. */
  const std::shared_ptr<const routing::KeyTable>& Keys() const
  {
    return this->keys;
  }

  /**
   * Returns the version of the current configuration; 0 before the first. It
   * never decreases.
   */
  std::uint64_t ConfigurationVersion() const;

  /** Returns the instances and the state that determines which may be used. */
  routing::ServiceDirectory& Directory() { return this->directory; }
  const routing::ServiceDirectory& Directory() const { return this->directory; }

private:
  void ApplyInstances(const std::vector<store::ObjectRecord>& aObjects,
                      bool aIsOlderCopy);
  void ApplyConfiguration(const std::vector<store::ObjectRecord>& aObjects);
  void ApplyRollouts(const std::vector<store::ObjectRecord>& aObjects,
                     bool aIsOlderCopy);
  void ApplyRollout(const store::ObjectRecord& aObject, bool aIsAgain);
  void ApplyDomainsOut(const std::vector<store::ObjectRecord>& aObjects,
                       bool aIsOlderCopy);
  void ApplyDomainOut(const store::ObjectRecord& aObject);
  /** Whether an order of an older copy would undo the known one. */
  bool UndoesRollout(const store::ObjectRecord& aObject) const;
  void LogHeld(const store::ObjectRecord& aObject) const;

  const PlatformAdapter& platform;
  const core::Log& log;
  bool logsEachInstance;
  routing::ServiceDirectory directory;
  std::uint64_t keySeed;
  std::shared_ptr<const routing::HttpRouteTable> routes;
  std::shared_ptr<const routing::KeyTable> keys;
  std::set<std::string, std::less<>> domainsOut;
  /** Kinds of which the objects of an older copy are to be applied next. */
  std::set<std::string, std::less<>> olderCopies;
  OlderCopyHold heldRollouts;
  OlderCopyHold heldDomains;
};

} // namespace fireflytrail::proxy
