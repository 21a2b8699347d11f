#pragma once

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fireflytrail::statechart {

/** An immutable, checked state chart. States and events have indexes. */
class Chart
{
public:
  /** A chart or what is wrong with its text. */
  using LoadResult = boost::outcome_v2::
    basic_result<Chart, std::string, boost::outcome_v2::policy::terminate>;

  /** What a state does on an event. */
  struct Transition
  {
    std::size_t target = 0;
    /** Index of the action, if the transition has one. */
    std::optional<std::size_t> action;
  };

  /**
   * Loads and checks a chart. The message names the state or event for an
   * unreachable state, an unhandled event, an unknown event, action or target,
   * and an action that no transition uses. Thread-safe.
   */
  static LoadResult Load(std::string_view aText);

  /**
   * Returns an embedded chart, loaded once. `aName` must be the name of a file
   * in charts/ without its ending. Thread-safe.
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

  /** Returns the index of an event, if the chart has it. Thread-safe. */
  std::optional<std::size_t> EventIndex(std::string_view aName) const;

  /** Returns the index of a state, if the chart has it. Thread-safe. */
  std::optional<std::size_t> StateIndex(std::string_view aName) const;

  /**
   * Returns the transition of a state on an event; none if the state ignores
   * the event. Both indexes must be valid. Thread-safe.
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
  /** By state, then by event. */
  std::vector<std::vector<std::optional<Transition>>> transitions;
};

} // namespace fireflytrail::statechart
