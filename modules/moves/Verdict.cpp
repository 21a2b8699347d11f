#include "moves/Verdict.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <chrono>

namespace fireflytrail::moves {

std::string
Verdict::Serialize() const
{
  return boost::json::serialize(boost::json::object{
    { "move", this->moveId },
    { "at_ms",
      std::chrono::duration_cast<std::chrono::milliseconds>(
        this->at.time_since_epoch())
        .count() },
    { "by", this->by },
    { "reason", this->reason } });
}

core::Result<Verdict>
Verdict::Parse(std::string_view aText)
{
  boost::json::error_code error;
  const auto value = boost::json::parse({ aText.data(), aText.size() }, error);
  const auto* object = error ? nullptr : value.if_object();
  const auto field = [&](const char* aName) {
    return object != nullptr ? object->if_contains(aName) : nullptr;
  };
  const auto* move = field("move");
  const auto* at = field("at_ms");
  const auto* by = field("by");
  const auto* reason = field("reason");
  if (move == nullptr || !move->is_string() || at == nullptr ||
      !at->is_int64() || by == nullptr || !by->is_string() ||
      reason == nullptr || !reason->is_string()) {
    return core::Error{
      core::ErrorKind::BadRequest,
      "verdict: expected a JSON object with move, at_ms, by and reason"
    };
  }
  return Verdict{ std::string(move->get_string()),
                  core::WallTimePoint(
                    std::chrono::milliseconds(at->get_int64())),
                  std::string(by->get_string()),
                  std::string(reason->get_string()) };
}

} // namespace fireflytrail::moves
