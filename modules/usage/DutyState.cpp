#include "usage/DutyState.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/system/error_code.hpp>

namespace fireflytrail::usage {

namespace json = boost::json;

namespace {

std::optional<std::uint64_t>
NumberOf(const json::object& aObject, std::string_view aName)
{
  const json::value* value = aObject.if_contains(aName);
  if (value == nullptr) {
    return std::nullopt;
  }
  if (value->is_uint64()) {
    return value->get_uint64();
  }
  if (value->is_int64() && value->get_int64() >= 0) {
    return static_cast<std::uint64_t>(value->get_int64());
  }
  return std::nullopt;
}

bool
ReadNumber(const json::object& aObject,
           std::string_view aName,
           std::uint64_t& aNumber)
{
  const auto number = NumberOf(aObject, aName);
  aNumber = number.value_or(0);
  return number.has_value();
}

bool
ReadPending(const json::value& aValue, DutyState& aState)
{
  const json::object* entry = aValue.if_object();
  WindowNumber window = 0;
  const json::value* counts =
    entry == nullptr ? nullptr : entry->if_contains("counts");
  if (counts == nullptr || !counts->is_object() ||
      !ReadNumber(*entry, "window", window)) {
    return false;
  }
  Figures& figures = aState.pending[window];
  for (const auto& member : counts->get_object()) {
    if (!ReadNumber(counts->get_object(),
                    member.key(),
                    figures[std::string(member.key())])) {
      return false;
    }
  }
  return true;
}

} // namespace

std::string
DutyState::ToText() const
{
  json::array windows;
  for (const auto& [window, figures] : this->pending) {
    json::object counts;
    for (const auto& [organisation, count] : figures) {
      counts[organisation] = count;
    }
    windows.push_back(
      json::object{ { "window", window }, { "counts", counts } });
  }
  json::array lostWindows;
  for (const WindowNumber window : this->lost) {
    lostWindows.emplace_back(window);
  }
  return json::serialize(json::object{ { "holder", this->holder },
                                       { "process", this->process },
                                       { "fence", this->fence },
                                       { "sequence", this->sequence },
                                       { "era", this->era },
                                       { "is_released", this->isReleased },
                                       { "fixed_through", this->fixedThrough },
                                       { "pending", windows },
                                       { "lost", lostWindows } });
}

std::optional<DutyState>
DutyState::Parse(std::string_view aText)
{
  boost::system::error_code error;
  const json::value value = json::parse(aText, error);
  const json::object* root = error ? nullptr : value.if_object();
  if (root == nullptr) {
    return std::nullopt;
  }
  DutyState state;
  const json::value* holder = root->if_contains("holder");
  const json::value* released = root->if_contains("is_released");
  const json::value* pending = root->if_contains("pending");
  const json::value* lost = root->if_contains("lost");
  if (holder == nullptr || !holder->is_string() || released == nullptr ||
      !released->is_bool() || pending == nullptr || !pending->is_array() ||
      lost == nullptr || !lost->is_array() ||
      !ReadNumber(*root, "process", state.process) ||
      !ReadNumber(*root, "fence", state.fence) ||
      !ReadNumber(*root, "sequence", state.sequence) ||
      !ReadNumber(*root, "era", state.era) ||
      !ReadNumber(*root, "fixed_through", state.fixedThrough)) {
    return std::nullopt;
  }
  state.holder = std::string(holder->get_string());
  state.isReleased = released->get_bool();
  for (const json::value& entry : pending->get_array()) {
    if (!ReadPending(entry, state)) {
      return std::nullopt;
    }
  }
  for (const json::value& entry : lost->get_array()) {
    if (!entry.is_int64() && !entry.is_uint64()) {
      return std::nullopt;
    }
    state.lost.insert(entry.to_number<WindowNumber>());
  }
  return state;
}

} // namespace fireflytrail::usage
