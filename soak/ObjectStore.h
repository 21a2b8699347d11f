#pragma once

#include "soak/HttpService.h"

#include <boost/asio/awaitable.hpp>
#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>

namespace fireflytrail::soak {

/**
 * A stand-in of the platform's store: objects by kind and name with lists,
 * watches and conditional status writes. It can refuse, stay silent, lose
 * answers after the write took effect, and forget its history. Belongs to the
 * context's thread.
 */
class ObjectStore
{
public:
  enum class Mode : std::uint8_t
  {
    Normal,
    /** Answers 503 and does nothing. */
    Refusing,
    /** Answers nothing and does nothing. */
    Silent,
    /** Does what it is asked and closes the connection. */
    LosingAnswers,
  };

  explicit ObjectStore(boost::asio::io_context& aContext);

  /** Starts to serve; returns the endpoint. */
  boost::asio::ip::tcp::endpoint Open();

  void SetMode(Mode aMode) { this->mode = aMode; }

  /** Drops the changes so far, so that watches from before get 410. */
  void ForgetHistory() { this->oldest = this->revision; }

  /** Creates an object or replaces its `Spec`. */
  void Put(const std::string& aKind,
           const std::string& aName,
           boost::json::value aSpec);

  /** Removes an object. */
  void Remove(const std::string& aKind, const std::string& aName);

  /** Returns the `State` of an object's status; empty if there is none. */
  std::string StateOf(const std::string& aKind, const std::string& aName) const;

private:
  struct Change
  {
    std::uint64_t revision = 0;
    std::string kind;
    boost::json::object event;
  };
  using Objects = std::map<std::string, boost::json::object>;

  boost::asio::awaitable<std::optional<HttpResponse>> Handle(
    HttpRequest aRequest);
  boost::asio::awaitable<HttpResponse> Watch(std::string aKind,
                                             std::uint64_t aRevision,
                                             std::chrono::milliseconds aWait);
  HttpResponse List(const std::string& aKind);
  HttpResponse PutStatus(const std::string& aKind,
                         const std::string& aName,
                         const std::string& aBody);
  void Note(const std::string& aKind,
            boost::json::object& aObject,
            bool aIsDeleted);
  static HttpResponse Answer(unsigned aStatus, const boost::json::value& aBody);

  boost::asio::io_context& context;
  std::shared_ptr<HttpService> service;
  Mode mode = Mode::Normal;
  std::uint64_t revision = 1;
  std::uint64_t oldest = 0;
  std::map<std::string, Objects> kinds;
  std::deque<Change> changes;
};

} // namespace fireflytrail::soak
