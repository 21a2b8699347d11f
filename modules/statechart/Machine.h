#pragma once

#include "statechart/Chart.h"

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace fireflytrail::statechart {

/** A state machine that runs one instance of a chart. */
class Machine
{
public:
  /** Carries out the action with the given name. */
  using ActionFunction = std::function<void(std::string_view)>;

  /**
   * Starts in the chart's initial state. `aChart` must outlive the machine;
   * embedded charts always do. If `aAction` is empty, actions have no effect.
   */
  explicit Machine(const Chart& aChart, ActionFunction aAction = {});

  /**
   * Handles an event: changes the state, then calls the action, which may in
   * turn call `Handle`. Returns false if the current state ignores the event.
   * `aEvent` must be an event of the chart. Not thread-safe.
   */
  bool Handle(std::string_view aEvent);

  /** Returns the name of the current state. Not thread-safe. */
  const std::string& State() const;

  /**
   * Returns whether a state is the current one. `aState` must be a state of
   * the chart. Not thread-safe.
   */
  bool Is(std::string_view aState) const;

  /**
   * Sets the current state without calling an action, to restore a machine
   * from a recorded state. `aState` must be a state of the chart. Not
   * thread-safe.
   */
  void Resume(std::string_view aState);

private:
  const Chart* chart;
  ActionFunction action;
  std::size_t state;
};

} // namespace fireflytrail::statechart
