#pragma once

#include "BackendServer.h"
#include "EntryDaemon.h"
#include "ObjectStore.h"

#include <chrono>
#include <list>
#include <map>
#include <string>

namespace fireflytrail::review {

class Recorder;

/**
 * A small deployment: the store, instances and daemons. Like the platform, it
 * starts a daemon again that has ended. One thread uses it at a time.
 */
class Deployment
{
public:
  explicit Deployment(Recorder& aRecorder);
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  /** Ends all daemons and removes the temporary folder. */
  void End();

  /** Starts an instance and puts its entry into the store. */
  BackendServer& AddServer(const std::string& aId,
                           const std::string& aService,
                           BackendServer::Spoiler aSpoiler = {});

  /** Starts a daemon on a machine with some memory in megabytes; that of the
   * small site by default. */
  EntryDaemon& AddDaemon(const std::string& aName, std::size_t aMemoryMb = 260);

  /** Waits until all daemons are ready, and then until they count as in touch;
   * returns whether they are. */
  bool WaitUntilInTouch();

  /** Starts ended daemons again, half a second after their end, for some time.
   */
  void Supervise(std::chrono::milliseconds aTime);

  /** Returns whether an instance, other than the one named, began to work on a
   * request. */
  bool HasRun(const std::string& aRequestId, const std::string& aExcept = {});

  /** Returns how often processes of a daemon ended by themselves. */
  unsigned OwnEnds(const EntryDaemon& aDaemon) const;

  /** Returns on how many daemons processes ended by themselves three times or
   * more. */
  unsigned DaemonsWithThreeEnds() const;

  /** Kills a process as the platform does that exceeds its memory, which
   * counts as an end of its own. */
  void Kill(EntryDaemon& aDaemon, const std::string& aReason);

  ObjectStore store;
  std::list<BackendServer> servers;
  std::list<EntryDaemon> daemons;

private:
  void CountOwnEnd(const EntryDaemon& aDaemon);

  Recorder& recorder;
  std::string folder;
  std::map<std::string, unsigned> ownEnds;
  std::map<std::string, std::chrono::steady_clock::time_point> endedAt;
};

} // namespace fireflytrail::review
