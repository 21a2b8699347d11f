#pragma once

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fireflytrail::statechart {

/**
 * An immutable, validated state chart. States, events and actions are
 * identified by their index in chart order.
 */
class Chart
{
public:
  /** The chart, or an error message that says why its text is invalid. */
  using LoadResult = boost::outcome_v2::
    basic_result<Chart, std::string, boost::outcome_v2::policy::terminate>;

  /** Target state and action of one event in one state. */
  struct Transition
  {
    std::size_t target = 0;
    /** Index of the action, if the transition has one. */
    std::optional<std::size_t> action;
  };

  /**
   * Parses and validates a chart. A chart is rejected if it has an unreachable
   * state, a state that neither handles nor ignores an event, an unknown event,
   * action or target, or an action that no transition uses. The error message
   * names the state, event or action concerned. Thread-safe.
   */
  static LoadResult Load(std::string_view aText);

  /**
   * Returns a chart that is embedded in the program. All embedded charts are
   * loaded at the first call. `aName` must be the name of a file in charts/
   * without its extension. Thread-safe.
   */
  static const Chart& Embedded(std::string_view aName);

  /** Returns the index of the initial state. Thread-safe. */
  std::size_t Initial() const;

  /** Returns the names of the states in chart order. Thread-safe. */
  const std::vector<std::string>& States() const;

  /** Returns the names of the events in chart order. Thread-safe. */
  const std::vector<std::string>& Events() const;

  /** Returns the names of the actions in chart order. Thread-safe. */
  const std::vector<std::string>& Actions() const;

  /** Returns the index of an event, or nothing if unknown. Thread-safe. */
  std::optional<std::size_t> EventIndex(std::string_view aName) const;

  /** Returns the index of a state, or nothing if unknown. Thread-safe. */
  std::optional<std::size_t> StateIndex(std::string_view aName) const;

  /**
   * Returns the transition that an event triggers in a state, or nothing if the
   * state ignores the event. Both indexes must be valid. Thread-safe.
   */
  const std::optional<Transition>& Find(std::size_t aState,
                                        std::size_t aEvent) const;

private:
  friend class ChartLoader;
  Chart() = default;

  std::size_t initial = 0;
  std::vector<std::string> states;
  std::vector<std::string> events;
  std::vector<std::string> actions;
  /** Indexed by state, then by event. Empty for an ignored event. */
  std::vector<std::vector<std::optional<Transition>>> transitions;
};

} // namespace fireflytrail::statechart
