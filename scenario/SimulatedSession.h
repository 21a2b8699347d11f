#pragma once

#include "scenario/SimulatedDaemon.h"

#include <memory>
#include <optional>

namespace fireflytrail::scenario {

/**
 * One call in a daemon: carries out the steps of its `CallFlow` over simulated
 * connections, as the gateway does over sockets.
 */
class SimulatedSession : public std::enable_shared_from_this<SimulatedSession>
{
public:
  SimulatedSession(World& aWorld,
                   SimulatedDaemon& aDaemon,
                   std::shared_ptr<DaemonProcess> aProcess,
                   std::uint64_t aId,
                   const SimulatedRequest& aRequest,
                   SimulatedDaemon::ReplyFunction aReply);

  void Begin();
  void CallerGone();
  /** The daemon's process has ended: all its connections break. */
  void ProcessEnded();
  /** Destroys the flow, as a fault in its surroundings would. */
  void Drop();

private:
  calls::CallHooks Hooks();
  core::Result<calls::ServerHandle> Choose(
    std::span<const std::uint64_t> aAvoid);
  bool TryChargeRetry();
  void Execute(calls::CallStep aStep);
  void Send(calls::SendStep aStep);
  void WriteRequest(std::uint64_t aToken,
                    SimulatedServer& aServer,
                    const SimulatedRequest& aRequest,
                    std::optional<unsigned> aCut);
  void Forward(const calls::ForwardStep& aStep);
  void EndAttempt(std::uint64_t aToken,
                  calls::AttemptProgress aProgress,
                  const ServerReply& aReply = {},
                  core::ErrorKind aIssuerKind = core::ErrorKind::None);
  void Answer(const calls::AnswerStep& aStep);
  void ArmDeadline(microseconds aDelay);
  void CloseAttempt();
  void Reply(const SimulatedReply& aReply);

  World& world;
  SimulatedDaemon& daemon;
  std::shared_ptr<DaemonProcess> process;
  std::uint64_t id;
  SimulatedRequest request;
  SimulatedDaemon::ReplyFunction reply;
  std::optional<calls::CallFlow> flow;
  calls::AttemptProgress progress = calls::AttemptProgress::NothingSent;
  /** Identity of the running attempt; zero if there is none. */
  std::uint64_t token = 0;
  SimulatedServer* server = nullptr;
  core::TimePoint attemptBegin;
  std::shared_ptr<void> lease;
  std::function<void()> closeForward;
  std::uint64_t deadlineTimer = 0;
};

} // namespace fireflytrail::scenario
