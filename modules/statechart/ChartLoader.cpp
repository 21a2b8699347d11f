#include "statechart/ChartLoader.h"

#include <boost/json/parse.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <set>

namespace fireflytrail::statechart {

namespace {

std::string_view
ViewOf(const boost::json::string& aText)
{
  return { aText.data(), aText.size() };
}

std::string_view
ViewOf(boost::json::string_view aText)
{
  return { aText.data(), aText.size() };
}

} // namespace

Chart::LoadResult
ChartLoader::Load(std::string_view aText)
{
  boost::json::error_code error;
  const boost::json::value value =
    boost::json::parse({ aText.data(), aText.size() }, error);
  if (error) {
    return "syntax error: " + error.message();
  }
  const auto* object = value.if_object();
  if (object == nullptr) {
    return std::string("the chart must be an object");
  }
  const auto* initial = object->if_contains("initial");
  const auto* states = object->if_contains("states");
  if (initial == nullptr || !initial->is_string() || states == nullptr ||
      !states->is_object()) {
    return std::string("\"initial\" and \"states\" are required");
  }
  if (!ReadNames(*object, "events", this->chart.events) ||
      !ReadNames(*object, "actions", this->chart.actions)) {
    return this->message;
  }
  for (const auto& member : states->get_object()) {
    this->chart.states.emplace_back(ViewOf(member.key()));
  }
  const auto found = this->chart.StateIndex(ViewOf(initial->get_string()));
  if (!found) {
    return fmt::format("unknown initial state \"{}\"",
                       ViewOf(initial->get_string()));
  }
  this->chart.initial = *found;
  for (const auto& member : states->get_object()) {
    const auto* state = member.value().if_object();
    if (state == nullptr) {
      return fmt::format("state {}: must be an object", ViewOf(member.key()));
    }
    const std::size_t index = this->chart.transitions.size();
    this->chart.transitions.emplace_back(this->chart.events.size());
    if (!ReadState(*state, index)) {
      return this->message;
    }
  }
  if (!CheckReachable() || !CheckActionsUsed()) {
    return this->message;
  }
  return std::move(this->chart);
}

bool
ChartLoader::ReadNames(const boost::json::object& aObject,
                       std::string_view aKey,
                       std::vector<std::string>& aNames)
{
  const auto* list = aObject.if_contains({ aKey.data(), aKey.size() });
  if (list == nullptr || !list->is_array()) {
    return Fail(fmt::format("\"{}\" must be a list", aKey));
  }
  for (const auto& item : list->get_array()) {
    if (!item.is_string()) {
      return Fail(fmt::format("\"{}\" must be a list of strings", aKey));
    }
    std::string name(ViewOf(item.get_string()));
    if (std::ranges::find(aNames, name) != aNames.end()) {
      return Fail(fmt::format("\"{}\" lists {} twice", aKey, name));
    }
    aNames.push_back(std::move(name));
  }
  return true;
}

bool
ChartLoader::ReadState(const boost::json::object& aObject, std::size_t aState)
{
  const std::string& name = this->chart.states[aState];
  const auto* on = aObject.if_contains("on");
  if (on == nullptr || !on->is_object()) {
    return Fail(fmt::format("state {}: \"on\" must be an object", name));
  }
  std::set<std::size_t> handled;
  for (const auto& member : on->get_object()) {
    const auto event = this->chart.EventIndex(ViewOf(member.key()));
    if (!event) {
      return Fail(
        fmt::format("state {}: unknown event {}", name, ViewOf(member.key())));
    }
    handled.insert(*event);
    if (!ReadTransition(member.value(), aState, *event)) {
      return false;
    }
  }
  std::vector<std::string> ignored;
  if (!ReadNames(aObject, "ignore", ignored)) {
    return Fail(fmt::format("state {}: {}", name, this->message));
  }
  for (const std::string& eventName : ignored) {
    const auto event = this->chart.EventIndex(eventName);
    if (!event) {
      return Fail(fmt::format("state {}: unknown event {}", name, eventName));
    }
    if (!handled.insert(*event).second) {
      return Fail(fmt::format(
        "state {}: event {} is both handled and ignored", name, eventName));
    }
  }
  for (std::size_t event = 0; event < this->chart.events.size(); ++event) {
    if (!handled.contains(event)) {
      return Fail(fmt::format(
        "state {}: unhandled event {}", name, this->chart.events[event]));
    }
  }
  return true;
}

bool
ChartLoader::ReadTransition(const boost::json::value& aValue,
                            std::size_t aState,
                            std::size_t aEvent)
{
  const std::string location = fmt::format("state {}, event {}",
                                           this->chart.states[aState],
                                           this->chart.events[aEvent]);
  const auto* object = aValue.if_object();
  const auto* target =
    object != nullptr ? object->if_contains("target") : nullptr;
  if (target == nullptr || !target->is_string()) {
    return Fail(location + ": \"target\" is required");
  }
  const auto targetIndex = this->chart.StateIndex(ViewOf(target->get_string()));
  if (!targetIndex) {
    return Fail(fmt::format(
      "{}: unknown target {}", location, ViewOf(target->get_string())));
  }
  Chart::Transition transition{ *targetIndex, std::nullopt };
  if (const auto* action = object->if_contains("action")) {
    const std::string_view actionName =
      action->is_string() ? ViewOf(action->get_string()) : "";
    const auto found = std::ranges::find(this->chart.actions, actionName);
    if (found == this->chart.actions.end()) {
      return Fail(fmt::format("{}: unknown action {}", location, actionName));
    }
    transition.action =
      static_cast<std::size_t>(found - this->chart.actions.begin());
  }
  this->chart.transitions[aState][aEvent] = transition;
  return true;
}

bool
ChartLoader::CheckReachable()
{
  std::set<std::size_t> reached{ this->chart.initial };
  std::vector<std::size_t> pending{ this->chart.initial };
  while (!pending.empty()) {
    const std::size_t state = pending.back();
    pending.pop_back();
    for (const auto& transition : this->chart.transitions[state]) {
      if (transition && reached.insert(transition->target).second) {
        pending.push_back(transition->target);
      }
    }
  }
  for (std::size_t state = 0; state < this->chart.states.size(); ++state) {
    if (!reached.contains(state)) {
      return Fail(
        fmt::format("state {}: unreachable", this->chart.states[state]));
    }
  }
  return true;
}

bool
ChartLoader::CheckActionsUsed()
{
  std::set<std::size_t> used;
  for (const auto& row : this->chart.transitions) {
    for (const auto& transition : row) {
      if (transition && transition->action) {
        used.insert(*transition->action);
      }
    }
  }
  for (std::size_t action = 0; action < this->chart.actions.size(); ++action) {
    if (!used.contains(action)) {
      return Fail(
        fmt::format("action {}: never used", this->chart.actions[action]));
    }
  }
  return true;
}

bool
ChartLoader::Fail(std::string aMessage)
{
  this->message = std::move(aMessage);
  return false;
}

} // namespace fireflytrail::statechart
