#include "proxy/StoreView.h"

#include "store/StoreRevision.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace fireflytrail::proxy {

using core::LogLevel;

namespace {

// Changes of servers in one update that are logged one by one.
constexpr std::size_t kMaxLoggedInstances = 8;

/** Returns the revision of an object as the store states it, for logs. */
std::int64_t
RevisionOf(const store::ObjectRecord& aObject)
{
  return static_cast<std::int64_t>(store::StatedRevision(aObject.revision));
}

} // namespace

StoreView::StoreView(const PlatformAdapter& aPlatform,
                     const core::Log& aLog,
                     core::NowFunction aNow,
                     std::chrono::milliseconds aReportInterval,
                     bool aLogsEachInstance,
                     std::uint64_t aKeySeed)
  : platform(aPlatform)
  , log(aLog)
  , logsEachInstance(aLogsEachInstance)
  , directory(aNow, aReportInterval)
  , keySeed(aKeySeed)
  , heldRollouts(aNow)
  , heldDomains(std::move(aNow))
{
}

std::uint64_t
StoreView::ConfigurationVersion() const
{
  return this->routes ? this->routes->Configuration().version : 0;
}

void
StoreView::Apply(const std::string& aKind,
                 const std::vector<store::ObjectRecord>& aObjects)
{
  const ObjectKinds& kinds = this->platform.kinds;
  const bool isOlderCopy = this->olderCopies.erase(aKind) > 0;
  if (aKind == kinds.configuration) {
    this->ApplyConfiguration(aObjects);
  } else if (aKind == kinds.instances) {
    this->ApplyInstances(aObjects, isOlderCopy);
  } else if (aKind == kinds.rollouts) {
    this->ApplyRollouts(aObjects, isOlderCopy);
  } else if (aKind == kinds.domainsOut) {
    this->ApplyDomainsOut(aObjects, isOlderCopy);
  }
}

void
StoreView::OnOlderCopy(const std::string& aKind)
{
  this->olderCopies.insert(aKind);
  if (aKind == this->platform.kinds.instances) {
    this->directory.OnOlderCopy();
  }
}

std::optional<core::TimePoint>
StoreView::NextDue() const
{
  std::optional<core::TimePoint> due;
  for (const auto& time : { this->directory.NextDue(),
                            this->heldRollouts.NextDue(),
                            this->heldDomains.NextDue() }) {
    if (time) {
      due = due ? std::min(*due, *time) : *time;
    }
  }
  return due;
}

bool
StoreView::ApplyDue()
{
  for (const store::ObjectRecord& object : this->heldRollouts.TakeDue()) {
    this->ApplyRollout(object, false);
  }
  for (const store::ObjectRecord& object : this->heldDomains.TakeDue()) {
    this->ApplyDomainOut(object);
  }
  this->directory.SetDomainsOut(this->domainsOut);
  return this->directory.RemoveExpiredInstances();
}

void
StoreView::LogHeld(const store::ObjectRecord& aObject) const
{
  this->log.Write(LogLevel::Info,
                  "older_copy_held",
                  { { "kind", aObject.kind },
                    { "name", aObject.name },
                    { "is_deleted", aObject.isDeleted },
                    { "revision", RevisionOf(aObject) } });
}

void
StoreView::ApplyConfiguration(const std::vector<store::ObjectRecord>& aObjects)
{
  for (const store::ObjectRecord& object : aObjects) {
    if (object.name != this->platform.kinds.configurationName ||
        object.isDeleted) {
      continue;
    }
    auto parsed = this->platform.readConfiguration(object);
    if (!parsed) {
      this->log.Write(LogLevel::Error,
                      "configuration_unreadable",
                      { { "why", parsed.error().detail } });
      continue;
    }
    const std::uint64_t previousVersion = this->ConfigurationVersion();
    if (parsed.value().version <= previousVersion) {
      continue;
    }
    const auto configuration =
      std::make_shared<const configuration::RouteConfiguration>(
        std::move(parsed).value());
    this->routes =
      std::make_shared<const routing::HttpRouteTable>(configuration);
    this->keys =
      std::make_shared<const routing::KeyTable>(configuration, this->keySeed);
    const auto& current = this->routes->Configuration();
    this->log.Write(
      LogLevel::Info,
      "configuration_in_force",
      { { "version", static_cast<std::int64_t>(current.version) },
        { "before", static_cast<std::int64_t>(previousVersion) },
        { "revision", RevisionOf(object) },
        { "routes", static_cast<std::int64_t>(current.routes.size()) },
        { "organisations",
          static_cast<std::int64_t>(current.organisations.size()) },
        { "keys", static_cast<std::int64_t>(this->keys->KeyCount()) } });
  }
}

void
StoreView::ApplyInstances(const std::vector<store::ObjectRecord>& aObjects,
                          bool aIsOlderCopy)
{
  // A line for each server on each host would make the log grow with their
  // product, for instance when a fleet starts.
  const bool isBulk =
    !this->logsEachInstance && aObjects.size() > kMaxLoggedInstances;
  const LogLevel changeLevel = isBulk ? LogLevel::Debug : LogLevel::Info;
  if (isBulk) {
    this->log.Write(LogLevel::Info,
                    "instances_changed",
                    { { "changes", static_cast<std::int64_t>(aObjects.size()) },
                      { "removed",
                        static_cast<std::int64_t>(std::ranges::count_if(
                          aObjects, &store::ObjectRecord::isDeleted)) } });
  }
  for (const store::ObjectRecord& object : aObjects) {
    if (object.isDeleted) {
      this->log.Write(
        changeLevel,
        "instance_removed",
        { { "instance", object.name }, { "revision", RevisionOf(object) } });
      this->directory.Remove(object.name);
      continue;
    }
    auto parsed = this->platform.readInstance(object);
    if (!parsed) {
      // An entry by another writer does not describe a usable instance.
      this->log.Write(
        LogLevel::Warning,
        "instance_unreadable",
        { { "instance", object.name }, { "why", parsed.error().detail } });
      this->directory.Remove(object.name);
      continue;
    }
    const routing::BackendInstance& instance = parsed.value();
    this->log.Write(changeLevel,
                    "instance_changed",
                    { { "instance", instance.id },
                      { "service", instance.service },
                      { "version", instance.version },
                      { "failure_domain", instance.failureDomain },
                      { "is_draining", instance.isDraining },
                      { "cold_ms", instance.remainingColdTime.count() },
                      { "revision", RevisionOf(object) } });
    if (aIsOlderCopy) {
      this->directory.PutFromOlderCopy(std::move(parsed).value());
    } else {
      this->directory.Put(std::move(parsed).value());
    }
  }
}

void
StoreView::ApplyRollouts(const std::vector<store::ObjectRecord>& aObjects,
                         bool aIsOlderCopy)
{
  for (const store::ObjectRecord& object : aObjects) {
    const bool wasHeld = this->heldRollouts.Drop(object.name);
    if (aIsOlderCopy && this->UndoesRollout(object)) {
      this->LogHeld(object);
      this->heldRollouts.Hold(object);
    } else {
      this->ApplyRollout(object, aIsOlderCopy || wasHeld);
    }
  }
}

bool
StoreView::UndoesRollout(const store::ObjectRecord& aObject) const
{
  const auto known = this->directory.Rollouts().find(aObject.name);
  if (known == this->directory.Rollouts().end()) {
    return false;
  }
  if (aObject.isDeleted) {
    return true;
  }
  const auto parsed = this->platform.readRollout(aObject);
  return parsed && parsed.value().targetVersion != known->second.targetVersion;
}

void
StoreView::ApplyRollout(const store::ObjectRecord& aObject, bool aIsAgain)
{
  if (aObject.isDeleted) {
    this->directory.RemoveRollout(aObject.name);
    return;
  }
  const auto parsed = this->platform.readRollout(aObject);
  if (!parsed) {
    this->log.Write(
      LogLevel::Error,
      "rollout_unreadable",
      { { "service", aObject.name }, { "why", parsed.error().detail } });
    return;
  }
  if (aIsAgain) {
    this->directory.PutRolloutAgain(parsed.value());
  } else {
    this->directory.PutRollout(parsed.value());
  }
  this->log.Write(LogLevel::Info,
                  "rollout_seen",
                  { { "service", parsed.value().service },
                    { "version", parsed.value().targetVersion },
                    { "state", routing::NameOf(parsed.value().state) },
                    { "revision", RevisionOf(aObject) } });
}

void
StoreView::ApplyDomainsOut(const std::vector<store::ObjectRecord>& aObjects,
                           bool aIsOlderCopy)
{
  for (const store::ObjectRecord& object : aObjects) {
    this->heldDomains.Drop(object.name);
    const bool isOut = this->domainsOut.contains(object.name);
    if (aIsOlderCopy && isOut == object.isDeleted) {
      this->LogHeld(object);
      this->heldDomains.Hold(object);
    } else {
      this->ApplyDomainOut(object);
    }
  }
  this->directory.SetDomainsOut(this->domainsOut);
}

void
StoreView::ApplyDomainOut(const store::ObjectRecord& aObject)
{
  if (aObject.isDeleted) {
    this->domainsOut.erase(aObject.name);
  } else {
    this->domainsOut.insert(aObject.name);
  }
  this->log.Write(LogLevel::Info,
                  "failure_domain_changed",
                  { { "failure_domain", aObject.name },
                    { "is_out", !aObject.isDeleted },
                    { "revision", RevisionOf(aObject) } });
}

} // namespace fireflytrail::proxy
