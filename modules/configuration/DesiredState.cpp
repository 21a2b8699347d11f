#include "configuration/DesiredState.h"

#include "configuration/ObjectReader.h"
#include "configuration/OperatorText.h"
#include "configuration/TextChecks.h"

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <limits>
#include <set>

namespace fireflytrail::configuration {

namespace {

using std::chrono::milliseconds;

/** Start of the year 2100; bounds times so that time arithmetic cannot
 * overflow. */
constexpr std::int64_t kMaxTimeMilliseconds = 4'102'444'800'000;

const std::initializer_list<std::pair<std::string_view, MoveKind>> kKinds = {
  { "domain_out", MoveKind::DomainOut },
  { "domain_in", MoveKind::DomainIn },
  { "version", MoveKind::Version }
};

const std::initializer_list<std::pair<std::string_view, MoveState>> kStates = {
  { "running", MoveState::Running },
  { "done", MoveState::Done },
  { "taken_back", MoveState::TakenBack },
  { "cancelled", MoveState::Cancelled }
};

template<typename Enum>
std::string_view
NameIn(std::initializer_list<std::pair<std::string_view, Enum>> aChoices,
       Enum aValue)
{
  for (const auto& [name, value] : aChoices) {
    if (value == aValue) {
      return name;
    }
  }
  return {};
}

std::int64_t
ToMilliseconds(core::WallTimePoint aTime)
{
  return std::chrono::duration_cast<milliseconds>(aTime.time_since_epoch())
    .count();
}

core::WallTimePoint
ReadTime(ObjectReader& aReader, std::string_view aName)
{
  return core::WallTimePoint(
    milliseconds(aReader.Integer(aName, 0, kMaxTimeMilliseconds)));
}

std::string
CheckShortText(const std::string& aText)
{
  return aText.size() <= 1000 ? "" : "must be at most 1000 bytes";
}

Move
ReadMove(const LocatedValue& aValue,
         const std::string& aPath,
         std::vector<TextError>& aErrors)
{
  Move move;
  ObjectReader reader(aValue, aPath, aErrors);
  move.id = reader.String("id", {}, CheckName);
  move.kind = reader.Choice<MoveKind>("kind", kKinds);
  move.state = reader.Choice<MoveState>("state", kStates);
  move.requestedBy = reader.String("asked_by", {}, CheckShortText);
  move.requestTime = ReadTime(reader, "asked_at_ms");
  move.setTime = ReadTime(reader, "set_time_ms");
  move.reason = reader.String("reason", "", CheckShortText);
  if (const auto* target =
        reader.Container("target", LocatedValue::Kind::Object, true)) {
    ObjectReader targetReader(*target, reader.PathOf("target"), aErrors);
    if (move.kind == MoveKind::Version) {
      move.service = targetReader.String("service", {}, CheckName);
      move.fromVersion = targetReader.String("from_version", {}, CheckVersion);
      move.toVersion = targetReader.String("to_version", {}, CheckVersion);
      if (move.fromVersion == move.toVersion && !move.toVersion.empty()) {
        targetReader.AddError("to_version", "must differ from from_version");
      }
    } else {
      move.failureDomain = targetReader.String("failure_domain", {}, CheckName);
    }
    targetReader.Finish();
  }
  reader.Finish();
  return move;
}

boost::json::object
ToJson(const Move& aMove)
{
  boost::json::object target;
  if (aMove.kind == MoveKind::Version) {
    target["service"] = aMove.service;
    target["from_version"] = aMove.fromVersion;
    target["to_version"] = aMove.toVersion;
  } else {
    target["failure_domain"] = aMove.failureDomain;
  }
  boost::json::object object;
  object["id"] = aMove.id;
  object["kind"] = NameIn<MoveKind>(kKinds, aMove.kind);
  object["target"] = std::move(target);
  object["set_time_ms"] = ToMilliseconds(aMove.setTime);
  object["state"] = NameIn<MoveState>(kStates, aMove.state);
  object["asked_by"] = aMove.requestedBy;
  object["asked_at_ms"] = ToMilliseconds(aMove.requestTime);
  if (!aMove.reason.empty()) {
    object["reason"] = aMove.reason;
  }
  return object;
}

/** Returns a key for the service or failure domain that a move changes. Of the
 * moves with the same key only the last one that has an effect is in force. */
std::string
TargetKeyOf(const Move& aMove)
{
  return aMove.kind == MoveKind::Version ? "service " + aMove.service
                                         : "domain " + aMove.failureDomain;
}

bool
HasTarget(const OperatorText& aText, const Move& aMove)
{
  return aMove.kind == MoveKind::Version
           ? aText.FindService(aMove.service) != nullptr
           : !aText.RegionOf(aMove.failureDomain).empty();
}

} // namespace

Checked<DesiredState>
DesiredState::Parse(std::string_view aDocument)
{
  auto root = LocatedValue::Parse(aDocument);
  if (!root) {
    return root.error();
  }
  std::vector<TextError> errors;
  ObjectReader reader(root.value(), "", errors);
  DesiredState state;
  state.textVersion = static_cast<std::uint64_t>(reader.Integer(
    "text_version", 0, std::numeric_limits<std::int64_t>::max()));
  state.text = reader.String("text");
  if (const auto* moves =
        reader.Container("moves", LocatedValue::Kind::Array, true)) {
    std::set<std::string> ids;
    for (std::size_t index = 0; index < moves->items.size(); ++index) {
      const std::string path = fmt::format("moves[{}]", index);
      Move move = ReadMove(moves->items[index], path, errors);
      if (!ids.insert(move.id).second) {
        errors.push_back({ moves->items[index].line,
                           path + ".id",
                           "is the id of an earlier move" });
      }
      state.moves.push_back(std::move(move));
    }
  }
  reader.Finish();
  if (!errors.empty()) {
    return errors;
  }
  return state;
}

std::string
DesiredState::Serialize() const
{
  boost::json::array list;
  for (const Move& move : this->moves) {
    list.push_back(ToJson(move));
  }
  boost::json::object document;
  document["text_version"] = this->textVersion;
  document["text"] = this->text;
  document["moves"] = std::move(list);
  return boost::json::serialize(document);
}

const Move*
DesiredState::FindMove(std::string_view aId) const
{
  const auto found = std::ranges::find(this->moves, aId, &Move::id);
  return found == this->moves.end() ? nullptr : &*found;
}

std::string
DesiredState::VersionInForce(std::string_view aService,
                             std::string_view aTextVersion) const
{
  std::string version(aTextVersion);
  for (const Move& move : this->moves) {
    if (move.kind == MoveKind::Version && move.service == aService) {
      version =
        move.state == MoveState::Done ? move.toVersion : move.fromVersion;
    }
  }
  return version;
}

bool
DesiredState::IsDomainOut(std::string_view aFailureDomain) const
{
  bool isOut = false;
  for (const Move& move : this->moves) {
    const bool isInForce =
      move.state == MoveState::Running || move.state == MoveState::Done;
    if (move.kind != MoveKind::Version && isInForce &&
        move.failureDomain == aFailureDomain) {
      isOut = move.kind == MoveKind::DomainOut;
    }
  }
  return isOut;
}

Checked<DesiredState>
DesiredState::WithText(std::string_view aText) const
{
  auto root = LocatedValue::Parse(aText);
  auto parsed = OperatorText::Parse(aText);
  if (!parsed) {
    return parsed.error();
  }
  const OperatorText& newText = parsed.value();
  std::vector<TextError> errors;
  ObjectReader reader(root.value(), "", errors);
  const LocatedValue& services = *reader.Find("services");
  // Parsing fails if no text was submitted before.
  const auto oldText = OperatorText::Parse(this->text);
  for (const auto& [name, service] : newText.services) {
    const ServiceSettings* oldService =
      oldText ? oldText.value().FindService(name) : nullptr;
    const std::string version = VersionInForce(
      name, oldService != nullptr ? oldService->version : service.version);
    if (version != service.version) {
      const auto position = std::ranges::find(services.keys, name);
      ObjectReader serviceReader(
        services.items[position - services.keys.begin()],
        "services." + name,
        errors);
      serviceReader.AddError(
        "version",
        fmt::format("must be \"{}\", the version in force; a version move "
                    "changes it",
                    version));
    }
  }
  DesiredState next;
  next.textVersion = this->textVersion + 1;
  next.text = aText;
  for (const Move& move : this->moves) {
    const bool isTargetKept = HasTarget(newText, move);
    if (isTargetKept) {
      next.moves.push_back(move);
    } else if (move.state == MoveState::Running) {
      reader.AddError(
        move.kind == MoveKind::Version ? "services" : "regions",
        fmt::format("the target of running move {} is missing", move.id));
    }
  }
  if (!errors.empty()) {
    std::ranges::stable_sort(errors, {}, &TextError::line);
    return errors;
  }
  return next;
}

Checked<DesiredState>
DesiredState::WithMove(Move aMove) const
{
  std::vector<TextError> errors;
  const auto report = [&](std::string aPath, std::string aMessage) {
    errors.push_back({ 0, std::move(aPath), std::move(aMessage) });
  };
  const auto parsed = OperatorText::Parse(this->text);
  if (!parsed) {
    return parsed.error();
  }
  if (FindMove(aMove.id) != nullptr) {
    report("id", "is the id of an earlier move");
  }
  if (aMove.setTime < aMove.requestTime) {
    report("set_time_ms", "must not be before asked_at_ms");
  }
  if (!HasTarget(parsed.value(), aMove)) {
    report("target", "is not in the operators' text");
  } else if (aMove.kind == MoveKind::Version) {
    const std::string version = VersionInForce(
      aMove.service, parsed.value().services.at(aMove.service).version);
    if (aMove.fromVersion != version) {
      report("target.from_version",
             fmt::format("must be \"{}\", the version in force", version));
    }
    if (aMove.toVersion == aMove.fromVersion) {
      report("target.to_version", "must differ from from_version");
    }
    for (const Move& move : this->moves) {
      if (move.state == MoveState::Running && move.service == aMove.service) {
        report("target.service",
               fmt::format("move {} of this service is running", move.id));
      }
    }
  }
  if (!errors.empty()) {
    return errors;
  }
  DesiredState next = *this;
  next.moves.push_back(std::move(aMove));
  next.DropOldMoves();
  return next;
}

DesiredState
DesiredState::WithMoveState(std::string_view aId,
                            MoveState aState,
                            std::string aReason) const
{
  DesiredState next = *this;
  const auto found = std::ranges::find(next.moves, aId, &Move::id);
  if (found != next.moves.end() && found->state != MoveState::TakenBack) {
    found->state = aState;
    found->reason = std::move(aReason);
  }
  return next;
}

void
DesiredState::DropOldMoves()
{
  std::set<std::string> targetKeys;
  std::vector<Move> kept;
  // Iterates from the newest to the oldest move, so the first move found for a
  // target is its last one. A cancelled domain move has no effect, so the move
  // before it is kept too.
  for (auto move = this->moves.rbegin(); move != this->moves.rend(); ++move) {
    const bool hasEffect =
      move->kind == MoveKind::Version || move->state != MoveState::Cancelled;
    const bool isLastOfTarget =
      hasEffect && targetKeys.insert(TargetKeyOf(*move)).second;
    if (isLastOfTarget || move->state == MoveState::Running ||
        kept.size() < kMaxMoves) {
      kept.push_back(std::move(*move));
    }
  }
  std::ranges::reverse(kept);
  this->moves = std::move(kept);
}

} // namespace fireflytrail::configuration
