#include "proxy/StoreBeliefs.h"

#include <cassert>
#include <utility>

namespace fireflytrail::proxy {

using core::LogLevel;

StoreBeliefs::StoreBeliefs(const PlatformAdapter& aPlatform,
                           const core::Log& aLog,
                           core::NowFunction aNow)
  : platform(aPlatform)
  , log(aLog)
  , directory(std::move(aNow))
{
}

std::uint64_t
StoreBeliefs::ConfigurationVersion() const
{
  return this->routes ? this->routes->Configuration().version : 0;
}

void
StoreBeliefs::Take(const std::string& aKind,
                   const std::vector<store::ObjectRecord>& aObjects)
{
  const ObjectKinds& kinds = this->platform.kinds;
  if (aKind == kinds.configuration) {
    this->OnConfiguration(aObjects);
  } else if (aKind == kinds.instances) {
    this->OnInstances(aObjects);
  } else if (aKind == kinds.rollouts) {
    this->OnRollouts(aObjects);
  } else if (aKind == kinds.domainsOut) {
    this->OnDomainsOut(aObjects);
  }
}

void
StoreBeliefs::OnConfiguration(const std::vector<store::ObjectRecord>& aObjects)
{
  for (const store::ObjectRecord& object : aObjects) {
    if (object.name != this->platform.kinds.configurationName ||
        object.isDeleted) {
      continue;
    }
    auto read = this->platform.readConfiguration(object);
    if (!read) {
      this->log.Write(LogLevel::Error,
                      "configuration_unreadable",
                      { { "why", read.error().detail } });
      continue;
    }
    const std::uint64_t held = this->ConfigurationVersion();
    if (read.value().version <= held) {
      continue;
    }
    this->routes = std::make_shared<const routing::HttpRouteTable>(
      std::make_shared<const configuration::RouteConfiguration>(
        std::move(read).value()));
    const auto& inForce = this->routes->Configuration();
    this->log.Write(
      LogLevel::Info,
      "configuration_in_force",
      { { "version", static_cast<std::int64_t>(inForce.version) },
        { "before", static_cast<std::int64_t>(held) },
        { "revision", static_cast<std::int64_t>(object.revision) },
        { "routes", static_cast<std::int64_t>(inForce.routes.size()) } });
  }
}

void
StoreBeliefs::OnInstances(const std::vector<store::ObjectRecord>& aObjects)
{
  for (const store::ObjectRecord& object : aObjects) {
    if (object.isDeleted) {
      this->log.Write(
        LogLevel::Info,
        "instance_removed",
        { { "instance", object.name },
          { "revision", static_cast<std::int64_t>(object.revision) } });
      this->directory.Remove(object.name);
      continue;
    }
    auto read = this->platform.readInstance(object);
    if (!read) {
      // Another writer's entry names no instance to use.
      this->log.Write(
        LogLevel::Warning,
        "instance_unreadable",
        { { "instance", object.name }, { "why", read.error().detail } });
      this->directory.Remove(object.name);
      continue;
    }
    const routing::BackendInstance& instance = read.value();
    this->log.Write(
      LogLevel::Info,
      "instance_changed",
      { { "instance", instance.id },
        { "service", instance.service },
        { "version", instance.version },
        { "failure_domain", instance.failureDomain },
        { "is_draining", instance.isDraining },
        { "cold_ms", instance.coldFor.count() },
        { "revision", static_cast<std::int64_t>(object.revision) } });
    this->directory.Put(std::move(read).value());
  }
}

void
StoreBeliefs::OnRollouts(const std::vector<store::ObjectRecord>& aObjects)
{
  for (const store::ObjectRecord& object : aObjects) {
    if (object.isDeleted) {
      this->directory.RemoveRollout(object.name);
      continue;
    }
    const auto read = this->platform.readRollout(object);
    if (!read) {
      this->log.Write(
        LogLevel::Error,
        "rollout_unreadable",
        { { "service", object.name }, { "why", read.error().detail } });
      continue;
    }
    this->directory.PutRollout(read.value());
    this->log.Write(
      LogLevel::Info,
      "rollout_seen",
      { { "service", read.value().service },
        { "version", read.value().targetVersion },
        { "state", routing::NameOf(read.value().state) },
        { "revision", static_cast<std::int64_t>(object.revision) } });
  }
}

void
StoreBeliefs::OnDomainsOut(const std::vector<store::ObjectRecord>& aObjects)
{
  for (const store::ObjectRecord& object : aObjects) {
    if (object.isDeleted) {
      this->domainsOut.erase(object.name);
    } else {
      this->domainsOut.insert(object.name);
    }
    this->log.Write(
      LogLevel::Info,
      "failure_domain_changed",
      { { "failure_domain", object.name },
        { "is_out", !object.isDeleted },
        { "revision", static_cast<std::int64_t>(object.revision) } });
  }
  this->directory.SetDomainsOut(this->domainsOut);
}

} // namespace fireflytrail::proxy
