#pragma once

#include "soak/HttpService.h"

#include <boost/asio/awaitable.hpp>
#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace fireflytrail::soak {

/**
 * A stand-in for the platform's store: objects by kind and name with lists,
 * watches and conditional writes. It can refuse requests, not respond,
 * lose responses after a write took effect, discard its change history, and
 * come back from an older copy of itself. Use it only on the context's thread.
 */
class ObjectStore
{
public:
  enum class Mode : std::uint8_t
  {
    Normal,
    /** Responds with 503 and has no effect. */
    Refusing,
    /** Sends no response and has no effect. */
    Silent,
    /** Executes the request, then closes the connection without a response. */
    LosingAnswers,
  };

  /** What a list does with an `after` that is not the name of an object of the
   * kind, or that cannot be decoded; `AllIgnored` stands for a faulty store. */
  enum class UnknownCursor : std::uint8_t
  {
    /** Continues after the place that the name would have. */
    Accepted,
    /** Responds with 400. */
    Refused,
    /** Starts from the first object, as without `after`. */
    Ignored,
    /** Starts from the first object, also if the name is known. */
    AllIgnored,
  };

  explicit ObjectStore(boost::asio::io_context& aContext);

  /** Starts to listen on a loopback port; returns the endpoint. */
  boost::asio::ip::tcp::endpoint Open();

  /** Starts to listen at an endpoint; returns it with its port. Throws if it is
   * in use. */
  boost::asio::ip::tcp::endpoint Open(
    const boost::asio::ip::tcp::endpoint& aEndpoint);

  void SetMode(Mode aMode) { this->mode = aMode; }

  /** Discards the change history: watches from a revision before the current
   * one get 410. */
  void ForgetHistory() { this->oldestRevision = this->revision; }

  /** Keeps a copy of all objects. */
  void Copy();

  /** Replaces all objects by those of the last copy; revisions go back, too.
   * `Copy` must have been called. */
  void ReturnOlder();

  /** Writes again what the last return undid and nobody has written since:
   * creates objects and replaces the `Spec` of others. */
  void WriteAgain();

  /** Removes the objects of a kind that were gone before the last return and
   * that nobody has written since. */
  void RemoveAgain(const std::string& aKind);

  /** Sets the maximum number of objects in one page of a list, at least 1. */
  void SetPageSize(std::size_t aSize) { this->pageSize = aSize; }

  void SetUnknownCursor(UnknownCursor aRule) { this->unknownCursor = aRule; }

  /** Sets a kind of which lists and watches are refused with 400; empty for
   * none. */
  void SetRefusedKind(std::string aKind)
  {
    this->refusedKind = std::move(aKind);
  }

  /** Returns the number of requests for pages of lists so far. */
  std::size_t ListCount() const { return this->listCount; }

  /** Creates an object, or replaces the `Spec` of an existing one. */
  void Put(const std::string& aKind,
           const std::string& aName,
           boost::json::value aSpec);

  /** Stores a value of another writer as it is, in the place of the name
   * `aName`, which it need not have itself. Watches do not report it. */
  void PutForeign(const std::string& aKind,
                  const std::string& aName,
                  boost::json::value aValue)
  {
    this->objectsByKind[aKind][aName] = std::move(aValue);
  }

  /** Removes an object. */
  void Remove(const std::string& aKind, const std::string& aName);

  /** Returns the field `State` in the status of an object; empty if there is no
   * such object or it has no status. */
  std::string StateOf(const std::string& aKind, const std::string& aName) const;

private:
  static constexpr std::size_t kDefaultPageSize = 500;

  struct Change
  {
    std::uint64_t revision = 0;
    std::string kind;
    boost::json::object event;
  };
  using ObjectsByName = std::map<std::string, boost::json::value>;

  boost::asio::awaitable<std::optional<HttpResponse>> Handle(
    HttpRequest aRequest);
  /** Responds with the changes after `aRevision`; waits up to `aWait` for the
   * first one. */
  boost::asio::awaitable<HttpResponse> Watch(std::string aKind,
                                             std::uint64_t aRevision,
                                             std::chrono::milliseconds aWait);
  /** Responds with the page of objects after `aAfter`, the encoded text of the
   * query. */
  HttpResponse List(const std::string& aKind,
                    std::optional<std::string_view> aAfter);
  /** Replaces the status if `aBody` has the current revision of the object;
   * responds with 409 if not, and with 404 if there is no such object. */
  HttpResponse PutStatus(const std::string& aKind,
                         const std::string& aName,
                         const std::string& aBody);
  /** Responds with an object, or with 404. */
  HttpResponse Get(const std::string& aKind, const std::string& aName);
  /** Creates an object (`aName` is empty) or replaces its `Spec`, on the
   * condition in the body. */
  HttpResponse Write(const std::string& aKind,
                     const std::string& aName,
                     const std::string& aBody);
  /** Whether an object was written after the last return. */
  static bool IsWrittenAfter(std::uint64_t aRevision,
                             const boost::json::value& aObject);
  /** Assigns the next revision to an object and adds the change for watches. */
  void RecordChange(const std::string& aKind,
                    boost::json::object& aObject,
                    bool aIsDeleted);
  static HttpResponse MakeResponse(unsigned aStatus,
                                   const boost::json::value& aBody);

  boost::asio::io_context& context;
  std::shared_ptr<HttpService> service;
  Mode mode = Mode::Normal;
  UnknownCursor unknownCursor = UnknownCursor::Accepted;
  std::size_t pageSize = kDefaultPageSize;
  std::size_t listCount = 0;
  std::string refusedKind;
  std::uint64_t revision = 1;
  /** Watches from an earlier revision get 410. */
  std::uint64_t oldestRevision = 0;
  std::map<std::string, ObjectsByName> objectsByKind;
  std::deque<Change> changes;
  /** Rises with each return of an older copy. */
  std::uint64_t era = 1;
  std::uint64_t copiedRevision = 0;
  std::map<std::string, ObjectsByName> copiedObjects;
  /** The objects before the last return. */
  std::map<std::string, ObjectsByName> undoneObjects;
};

} // namespace fireflytrail::soak
