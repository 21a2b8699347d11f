#include "ObjectStore.h"

#include "Connection.h"
#include "HttpMessage.h"

#include <cstdlib>

namespace fireflytrail::review {

using std::chrono::milliseconds;
using std::chrono::steady_clock;
using namespace std::chrono_literals;

namespace {

/** Returns a number of a query, 0 if it is missing. */
std::uint64_t
QueryNumber(const std::string& aTarget, const std::string& aName)
{
  const std::size_t at = aTarget.find(aName + "=");
  return at == std::string::npos
           ? 0
           : std::strtoull(
               aTarget.c_str() + at + aName.size() + 1, nullptr, 10);
}

} // namespace

ObjectStore::ObjectStore()
  : server([this](Connection& aConnection) { this->Serve(aConnection); })
{
}

std::uint64_t
ObjectStore::Put(const std::string& aKind,
                 const std::string& aName,
                 const std::string& aSpec)
{
  const std::lock_guard lock(this->mutex);
  Object& object = this->objects[aKind][aName];
  object.spec = aSpec;
  object.revision = ++this->revision;
  if (object.created == 0) {
    object.created = object.revision;
  }
  this->changes.push_back(
    { object.revision,
      aKind,
      R"({"Deleted":false,"Object":)" + Text(aName, object) + "}" });
  this->changed.notify_all();
  return object.revision;
}

void
ObjectStore::Remove(const std::string& aKind, const std::string& aName)
{
  const std::lock_guard lock(this->mutex);
  Object object = this->objects[aKind][aName];
  this->objects[aKind].erase(aName);
  object.revision = ++this->revision;
  this->changes.push_back(
    { object.revision,
      aKind,
      R"({"Deleted":true,"Object":)" + Text(aName, object) + "}" });
  this->changed.notify_all();
}

std::uint64_t
ObjectStore::Revision()
{
  const std::lock_guard lock(this->mutex);
  return this->revision;
}

void
ObjectStore::Copy()
{
  const std::lock_guard lock(this->mutex);
  this->copiedObjects = this->objects;
  this->copiedRevision = this->revision;
}

void
ObjectStore::GoAway()
{
  const std::lock_guard lock(this->mutex);
  this->isAway = true;
  this->changed.notify_all();
}

void
ObjectStore::ReturnWithCopy()
{
  const std::lock_guard lock(this->mutex);
  this->objects = this->copiedObjects;
  this->revision = this->copiedRevision;
  std::erase_if(this->changes, [this](const Change& aChange) {
    return aChange.revision > this->copiedRevision;
  });
  ++this->era;
  this->isAway = false;
}

std::string
ObjectStore::Text(const std::string& aName, const Object& aObject)
{
  return R"({"Metadata":{"Name":")" + aName + R"(","Revision":)" +
         std::to_string(aObject.revision) + R"(,"CreatedRev":)" +
         std::to_string(aObject.created) +
         R"(,"Finalizers":[],"Deleting":false},"Spec":)" + aObject.spec +
         R"(,"Status":null})";
}

void
ObjectStore::Serve(Connection& aConnection)
{
  while (const auto request = aConnection.Read(60s)) {
    const auto [status, body] = this->Answer(*request);
    if (status == 0) {
      return;
    }
    std::uint64_t currentEra = 0;
    {
      const std::lock_guard lock(this->mutex);
      currentEra = this->era;
    }
    if (!aConnection.Write(
          "HTTP/1.1 " + std::to_string(status) +
          " Status\r\nStore-Era: " + std::to_string(currentEra) +
          "\r\nContent-Type: application/json\r\nContent-Length: " +
          std::to_string(body.size()) + "\r\n\r\n" + body)) {
      return;
    }
  }
}

std::pair<unsigned, std::string>
ObjectStore::Answer(const HttpMessage& aRequest)
{
  const std::string target = aRequest.Target();
  const std::string prefix = "/objects/";
  if (aRequest.Method() != "GET" || !target.starts_with(prefix)) {
    return { 404, "{}" };
  }
  const std::string kind =
    target.substr(prefix.size(), target.find('?') - prefix.size());
  if (target.find("Watch=") != std::string::npos) {
    return this->Watch(kind,
                       QueryNumber(target, "Watch"),
                       milliseconds(QueryNumber(target, "WaitMs")));
  }
  const std::lock_guard lock(this->mutex);
  if (this->isAway) {
    return { 0, {} };
  }
  std::string items;
  for (const auto& [name, object] : this->objects[kind]) {
    items += (items.empty() ? "" : ",") + Text(name, object);
  }
  return { 200,
           R"({"items":[)" + items + R"(],"More":false,"AsOf":)" +
             std::to_string(this->revision) + "}" };
}

std::pair<unsigned, std::string>
ObjectStore::Watch(const std::string& aKind,
                   std::uint64_t aFrom,
                   milliseconds aWait)
{
  const auto until = steady_clock::now() + aWait;
  std::unique_lock lock(this->mutex);
  for (;;) {
    if (this->isAway) {
      return { 0, {} };
    }
    if (aFrom > this->revision) {
      return { 410, "{}" };
    }
    std::string events;
    for (const Change& change : this->changes) {
      if (change.kind == aKind && change.revision > aFrom) {
        events += (events.empty() ? "" : ",") + change.event;
      }
    }
    if (!events.empty() || steady_clock::now() >= until) {
      return { 200,
               R"({"events":[)" + events + R"(],"AsOf":)" +
                 std::to_string(this->revision) + "}" };
    }
    this->changed.wait_until(lock, until);
  }
}

} // namespace fireflytrail::review
