#pragma once

#include "core/Hooks.h"
#include "routing/ServerLoad.h"
#include "routing/ServiceLoad.h"

#include <chrono>
#include <memory>
#include <string_view>

namespace fireflytrail::routing {

/**
 * A server that was selected for a call. The call counts as in flight until the
 * selection is released. Move-only; used by one traffic thread. Keeps the load
 * objects alive, so that it may outlive the routing table.
 */
class Selection
{
public:
  /** Takes ownership of `aToken`, which `aServer->TryAcquire` returned. Neither
   * load may be null. */
  Selection(std::shared_ptr<ServerLoad> aServer,
            std::shared_ptr<ServiceLoad> aService,
            ServerLoad::Token aToken);

  Selection(Selection&& aOther) noexcept;
  Selection& operator=(Selection&& aOther) noexcept;

  /** Releases with the outcome `Cancelled` unless `Release` was called. */
  ~Selection();

  /** Returns the server. Must not be called after `Release`. */
  const ServerIdentity& Server() const { return this->server->Identity(); }

  /** Returns the load of the server. Must not be called after `Release`. */
  const std::shared_ptr<ServerLoad>& Load() const { return this->server; }

  /** Whether `Release` has not been called yet. */
  bool Acquired() const { return this->server != nullptr; }

  /** Records the load report of an answer. Must not be called after `Release`.
   */
  void RecordReport(const LoadReport& aReport, core::TimePoint aNow);

  /**
   * Ends the use of the server. `aDuration` is the time from sending the call
   * to the end of the answer. Must be called at most once.
   */
  void Release(SelectionOutcome aOutcome,
               std::chrono::nanoseconds aDuration,
               core::TimePoint aNow);

private:
  std::shared_ptr<ServerLoad> server;
  std::shared_ptr<ServiceLoad> service;
  ServerLoad::Token token;
};

} // namespace fireflytrail::routing
