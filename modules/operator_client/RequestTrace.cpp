#include "operator_client/RequestTrace.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <utility>

namespace fireflytrail::operator_client {

namespace json = boost::json;

namespace {

/** A log event that reports a change of a daemon's state. */
struct StateEvent
{
  std::string_view event;
  /** Log field that names what changed, for example `instance`; empty if the
   * daemon has only one such thing, for example its configuration. */
  std::string_view subject;
  /** Of the lines with the same group and the same value of the subject field,
   * only the latest is shown. */
  std::string_view group;
};

constexpr std::array kStateEvents = {
  StateEvent{ "configuration_in_force", "", "configuration" },
  StateEvent{ "store_lost", "", "store" },
  StateEvent{ "store_regained", "", "store" },
  StateEvent{ "store_returned_older", "", "era" },
  StateEvent{ "instance_changed", "instance", "instance" },
  StateEvent{ "instance_removed", "instance", "instance" },
  StateEvent{ "failure_domain_changed", "failure_domain", "domain" },
  StateEvent{ "rollout_seen", "service", "rollout" },
  StateEvent{ "rollout_decided", "service", "rollout" },
  StateEvent{ "dispatcher_lost", "peer", "dispatcher" },
  StateEvent{ "dispatcher_regained", "peer", "dispatcher" },
  StateEvent{ "stop_requested", "", "stop" },
};

/** What an error kind means for the caller. */
struct Explanation
{
  std::string_view kind;
  std::string_view text;
};

constexpr std::array kExplanations = {
  Explanation{
    "overloaded",
    "refused, not run: no instance of the service had capacity in time" },
  Explanation{
    "no_server",
    "refused, not run: no instance of the service is available for requests" },
  Explanation{
    "no_configuration",
    "refused, not run: the daemon had not received a configuration yet" },
  Explanation{ "unknown_call",
               "refused: no route of the configuration in force matches" },
  Explanation{
    "connection_lost",
    "outcome unknown: the connection to the instance was lost before the "
    "answer was complete" },
  Explanation{ "deadline_after_send",
               "outcome unknown: the instance did not answer in time" },
  Explanation{ "deadline_before_send",
               "refused, not run: no instance was found in time" },
  Explanation{ "request_crashes_servers",
               "refused: the same request was running when three instances "
               "crashed" },
  Explanation{ "none", "answered by the instance" },
};

/** What a value of a field of `caller_connection_ended` or `request_cut` means.
 */
struct CutMeaning
{
  std::string_view field;
  std::string_view value;
  std::string_view text;
};

constexpr std::array kCutMeanings = {
  CutMeaning{ "stage", "head", "while its head arrived, so it did not run" },
  CutMeaning{ "stage", "body", "while its body arrived, so it did not run" },
  CutMeaning{ "stage", "running", "while it was handled" },
  CutMeaning{ "stage", "answer", "while its answer was written" },
  CutMeaning{ "stage",
              "waiting_for_server",
              "before it was sent to an instance, so it did not run" },
  CutMeaning{ "stage",
              "sent_to_server",
              "after it was sent to an instance; the outcome is unknown" },
  CutMeaning{ "closed_by", "caller", "the caller closed" },
  CutMeaning{ "closed_by", "daemon", "the daemon closed" },
  CutMeaning{ "closed_by", "time_limit", "a time limit ended the connection" },
  CutMeaning{ "closed_by", "stop", "the process ended" },
  CutMeaning{ "closed_by", "error", "an error ended the connection" },
};

std::string_view
FindCutMeaning(std::string_view aField, std::string_view aValue)
{
  const auto found =
    std::ranges::find_if(kCutMeanings, [&](const CutMeaning& aMeaning) {
      return aMeaning.field == aField && aMeaning.value == aValue;
    });
  return found == kCutMeanings.end() ? std::string_view("unknown")
                                     : found->text;
}

std::string
FieldText(const json::object& aFields, std::string_view aName)
{
  const json::value* value = aFields.if_contains(aName);
  if (value == nullptr) {
    return {};
  }
  return value->is_string() ? std::string(value->get_string())
                            : json::serialize(*value);
}

const StateEvent*
FindStateEvent(std::string_view aEvent)
{
  const auto found =
    std::ranges::find(kStateEvents, aEvent, &StateEvent::event);
  return found == kStateEvents.end() ? nullptr : &*found;
}

/** Returns the fields of a line as ` name=value`, without the fields that
 * every line of a request has. */
std::string
FormatFields(const json::object& aFields)
{
  std::string text;
  for (const auto& field : aFields) {
    if (field.key() != "time" && field.key() != "level" &&
        field.key() != "event" && field.key() != "id") {
      text += fmt::format(" {}={}",
                          std::string_view(field.key()),
                          FieldText(aFields, field.key()));
    }
  }
  return text;
}

} // namespace

RequestTrace::RequestTrace(std::string aId)
  : id(std::move(aId))
{
}

void
RequestTrace::AddLine(const std::string& aSource, std::string_view aLine)
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
    aSource, *fields, FieldText(*fields, "time"), FieldText(*fields, "event")
  };
  if (FieldText(*fields, "id") == this->id) {
    this->requestLines.push_back(std::move(line));
  } else if (FindStateEvent(line.event) != nullptr) {
    this->stateLines.push_back(std::move(line));
  }
}

std::vector<std::string>
RequestTrace::Format() const
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
    std::ranges::copy(this->FindDaemonState(source), std::back_inserter(lines));
  }
  std::ranges::stable_sort(lines, {}, &Line::time);
  std::vector<std::string> trace;
  const Line* end = nullptr;
  bool isCut = false;
  for (const Line* line : lines) {
    const bool isRequest = FieldText(line->fields, "id") == this->id;
    trace.push_back(fmt::format("{} {} {}{}{}",
                                line->time,
                                line->source,
                                isRequest ? "" : "believed: ",
                                line->event,
                                FormatFields(line->fields)));
    if (line->event == "request_ended" || line->event == "request_refused") {
      end = line;
    }
  }
  if (end != nullptr) {
    trace.push_back(this->DescribeResult(*end));
  }
  for (const Line* line : lines) {
    if (line->event == "caller_connection_ended" ||
        line->event == "request_cut") {
      isCut = true;
      trace.push_back(this->DescribeCut(*line));
    }
  }
  if (end == nullptr && !isCut && this->IsFound()) {
    trace.emplace_back("the end of the request was not logged: the daemon "
                       "stopped, or the line was dropped (see "
                       "log_lines_dropped)");
  }
  return trace;
}

std::vector<const RequestTrace::Line*>
RequestTrace::FindDaemonState(const std::string& aSource) const
{
  const auto last = std::ranges::max_element(
    this->requestLines, {}, [&aSource](const Line& aLine) {
      return aLine.source == aSource ? aLine.time : std::string();
    });
  // The latest line of each group and subject that is not later than the last
  // line of the request.
  std::map<std::pair<std::string_view, std::string>, const Line*> newest;
  for (const Line& line : this->stateLines) {
    if (line.source != aSource || line.time > last->time ||
        !this->IsRelevant(line)) {
      continue;
    }
    const StateEvent* stateEvent = FindStateEvent(line.event);
    newest[{ stateEvent->group, FieldText(line.fields, stateEvent->subject) }] =
      &line;
  }
  std::vector<const Line*> lines;
  lines.reserve(newest.size());
  for (const auto& [key, line] : newest) {
    lines.push_back(line);
  }
  return lines;
}

bool
RequestTrace::IsRelevant(const Line& aStateLine) const
{
  // A daemon knows many instances and services; only those that the lines of
  // the request name are shown.
  for (const std::string_view name : { "instance", "service" }) {
    const std::string subject = FieldText(aStateLine.fields, name);
    if (FindStateEvent(aStateLine.event)->subject == name) {
      return std::ranges::any_of(this->requestLines, [&](const Line& aLine) {
        return FieldText(aLine.fields, name) == subject;
      });
    }
  }
  return true;
}

std::string
RequestTrace::DescribeResult(const Line& aEnd) const
{
  const std::string kind = FieldText(aEnd.fields, "kind");
  const auto known = std::ranges::find(kExplanations, kind, &Explanation::kind);
  return fmt::format("=> {}: {}",
                     kind,
                     known == kExplanations.end()
                       ? "see docs/callers.md for this kind"
                       : known->text);
}

std::string
RequestTrace::DescribeCut(const Line& aLine) const
{
  const std::string_view stage =
    FindCutMeaning("stage", FieldText(aLine.fields, "stage"));
  if (aLine.event == "request_cut") {
    return fmt::format("=> cut: the process ended {}", stage);
  }
  return fmt::format(
    "=> no complete answer: {} {}",
    FindCutMeaning("closed_by", FieldText(aLine.fields, "closed_by")),
    stage);
}

} // namespace fireflytrail::operator_client
