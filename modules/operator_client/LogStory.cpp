#include "operator_client/LogStory.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <utility>

namespace fireflytrail::operator_client {

namespace json = boost::json;

namespace {

/** An event that changes what a daemon believes, and the field that tells what
 * it is about; none if there is one of it at a time. */
struct BeliefEvent
{
  std::string_view event;
  std::string_view subject;
  /** Lines of the same group replace each other. */
  std::string_view group;
};

constexpr std::array kBeliefEvents = {
  BeliefEvent{ "configuration_in_force", "", "configuration" },
  BeliefEvent{ "store_lost", "", "store" },
  BeliefEvent{ "store_regained", "", "store" },
  BeliefEvent{ "instance_changed", "instance", "instance" },
  BeliefEvent{ "instance_removed", "instance", "instance" },
  BeliefEvent{ "failure_domain_changed", "failure_domain", "domain" },
  BeliefEvent{ "rollout_seen", "service", "rollout" },
  BeliefEvent{ "rollout_decided", "service", "rollout" },
  BeliefEvent{ "dispatcher_lost", "peer", "dispatcher" },
  BeliefEvent{ "dispatcher_regained", "peer", "dispatcher" },
  BeliefEvent{ "stop_requested", "", "stop" },
};

/** What an error kind means for the one who asks. */
struct Explanation
{
  std::string_view kind;
  std::string_view text;
};

constexpr std::array kExplanations = {
  Explanation{
    "overloaded",
    "refused, not run: no instance of the service had room in time" },
  Explanation{
    "no_server",
    "refused, not run: no instance of the service may get requests" },
  Explanation{ "no_configuration",
               "refused, not run: the daemon knew no configuration yet" },
  Explanation{ "unknown_call",
               "refused: no route of the configuration in force matches" },
  Explanation{ "connection_lost",
               "outcome unknown: the connection to the instance ended before "
               "a whole answer" },
  Explanation{ "deadline_after_send",
               "outcome unknown: the instance did not answer in time" },
  Explanation{ "deadline_before_send",
               "refused, not run: no instance was found in time" },
  Explanation{ "request_crashes_servers",
               "refused: the same request was running when three instances "
               "died" },
  Explanation{ "none", "answered by the instance" },
};

std::string
TextOf(const json::object& aFields, std::string_view aName)
{
  const json::value* value = aFields.if_contains(aName);
  if (value == nullptr) {
    return {};
  }
  return value->is_string() ? std::string(value->get_string())
                            : json::serialize(*value);
}

const BeliefEvent*
FindBelief(std::string_view aEvent)
{
  const auto found =
    std::ranges::find(kBeliefEvents, aEvent, &BeliefEvent::event);
  return found == kBeliefEvents.end() ? nullptr : &*found;
}

/** Returns the fields of a line but for those that each line has. */
std::string
FieldsOf(const json::object& aFields)
{
  std::string text;
  for (const auto& field : aFields) {
    if (field.key() != "time" && field.key() != "level" &&
        field.key() != "event" && field.key() != "id") {
      text += fmt::format(
        " {}={}", std::string_view(field.key()), TextOf(aFields, field.key()));
    }
  }
  return text;
}

} // namespace

LogStory::LogStory(std::string aId)
  : id(std::move(aId))
{
}

void
LogStory::AddLine(const std::string& aSource, std::string_view aLine)
{
  const std::size_t begin = aLine.find('{');
  boost::system::error_code error;
  const json::value value = begin == std::string_view::npos
                              ? json::value()
                              : json::parse(aLine.substr(begin), error);
  const json::object* fields = error ? nullptr : value.if_object();
  if (fields == nullptr) {
    ++this->unreadable;
    return;
  }
  Line line{
    aSource, *fields, TextOf(*fields, "time"), TextOf(*fields, "event")
  };
  if (TextOf(*fields, "id") == this->id) {
    this->requestLines.push_back(std::move(line));
  } else if (FindBelief(line.event) != nullptr) {
    this->beliefs.push_back(std::move(line));
  }
}

std::vector<std::string>
LogStory::Tell() const
{
  std::vector<const Line*> lines;
  std::vector<std::string> sources;
  for (const Line& line : this->requestLines) {
    lines.push_back(&line);
    if (std::ranges::find(sources, line.source) == sources.end()) {
      sources.push_back(line.source);
    }
  }
  for (const std::string& source : sources) {
    std::ranges::copy(this->BeliefsOf(source), std::back_inserter(lines));
  }
  std::ranges::stable_sort(lines, {}, &Line::time);
  std::vector<std::string> story;
  const Line* end = nullptr;
  for (const Line* line : lines) {
    const bool isRequest = TextOf(line->fields, "id") == this->id;
    story.push_back(fmt::format("{} {} {}{}{}",
                                line->time,
                                line->source,
                                isRequest ? "" : "believed: ",
                                line->event,
                                FieldsOf(line->fields)));
    if (line->event == "request_ended" || line->event == "request_refused") {
      end = line;
    }
  }
  if (end != nullptr) {
    story.push_back(this->ConclusionOf(*end));
  } else if (this->IsFound()) {
    story.emplace_back("no end was logged: the daemon stopped, or the line was "
                       "dropped (see log_lines_dropped)");
  }
  return story;
}

std::vector<const LogStory::Line*>
LogStory::BeliefsOf(const std::string& aSource) const
{
  const auto last = std::ranges::max_element(
    this->requestLines, {}, [&aSource](const Line& aLine) {
      return aLine.source == aSource ? aLine.time : std::string();
    });
  // The last line of each belief before the request ended.
  std::map<std::pair<std::string_view, std::string>, const Line*> newest;
  for (const Line& line : this->beliefs) {
    if (line.source != aSource || line.time > last->time ||
        !this->Concerns(line)) {
      continue;
    }
    const BeliefEvent* belief = FindBelief(line.event);
    newest[{ belief->group, TextOf(line.fields, belief->subject) }] = &line;
  }
  std::vector<const Line*> lines;
  lines.reserve(newest.size());
  for (const auto& [key, line] : newest) {
    lines.push_back(line);
  }
  return lines;
}

bool
LogStory::Concerns(const Line& aBelief) const
{
  // Instances and services are many; of these, only those of the request count.
  for (const std::string_view name : { "instance", "service" }) {
    const std::string subject = TextOf(aBelief.fields, name);
    if (FindBelief(aBelief.event)->subject == name) {
      return std::ranges::any_of(this->requestLines, [&](const Line& aLine) {
        return TextOf(aLine.fields, name) == subject;
      });
    }
  }
  return true;
}

std::string
LogStory::ConclusionOf(const Line& aEnd) const
{
  const std::string kind = TextOf(aEnd.fields, "kind");
  const auto known = std::ranges::find(kExplanations, kind, &Explanation::kind);
  return fmt::format("=> {}: {}",
                     kind,
                     known == kExplanations.end()
                       ? "see docs/callers.md for this kind"
                       : known->text);
}

} // namespace fireflytrail::operator_client
