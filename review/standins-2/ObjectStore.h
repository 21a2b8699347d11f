#pragma once

#include "TcpServer.h"

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace fireflytrail::review {

class Connection;
struct HttpMessage;

/** The platform's store, as far as daemons that follow no roll-out need it:
 * lists and watches of objects. Thread-safe. */
class ObjectStore
{
public:
  ObjectStore();

  std::uint16_t Port() const { return this->server.Port(); }

  /** Creates or replaces an object; returns its revision. `aSpec` is JSON. */
  std::uint64_t Put(const std::string& aKind,
                    const std::string& aName,
                    const std::string& aSpec);

  /** Removes an object. */
  void Remove(const std::string& aKind, const std::string& aName);

  std::uint64_t Revision();

  /** Makes a copy of what the store holds. */
  void Copy();

  /** Ends all calls without an answer until `ReturnWithCopy`. */
  void GoAway();

  /** Answers again, with the content and the revision of the last copy. */
  void ReturnWithCopy();

private:
  struct Object
  {
    std::string spec;
    std::uint64_t created = 0;
    std::uint64_t revision = 0;
  };
  struct Change
  {
    std::uint64_t revision = 0;
    std::string kind;
    std::string event;
  };
  using Objects = std::map<std::string, std::map<std::string, Object>>;

  static std::string Text(const std::string& aName, const Object& aObject);
  void Serve(Connection& aConnection);
  /** Returns the status and the body of an answer; 0 for none. */
  std::pair<unsigned, std::string> Answer(const HttpMessage& aRequest);
  std::pair<unsigned, std::string> Watch(const std::string& aKind,
                                         std::uint64_t aFrom,
                                         std::chrono::milliseconds aWait);

  std::mutex mutex;
  std::condition_variable changed;
  Objects objects;
  std::vector<Change> changes;
  std::uint64_t revision = 100;
  Objects copiedObjects;
  std::uint64_t copiedRevision = 0;
  std::uint64_t era = 1;
  bool isAway = false;
  TcpServer server;
};

} // namespace fireflytrail::review
