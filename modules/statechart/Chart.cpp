#include "statechart/Chart.h"

#include "EmbeddedCharts.h"
#include "core/Log.h"
#include "statechart/ChartLoader.h"

#include <algorithm>
#include <cassert>
#include <cstdlib>
#include <map>

namespace fireflytrail::statechart {

namespace {

std::optional<std::size_t>
IndexOf(const std::vector<std::string>& aNames, std::string_view aName)
{
  const auto found = std::ranges::find(aNames, aName);
  return found == aNames.end()
           ? std::nullopt
           : std::optional(static_cast<std::size_t>(found - aNames.begin()));
}

std::map<std::string_view, Chart>
LoadEmbedded()
{
  std::map<std::string_view, Chart> charts;
  for (const auto& [name, text] : kEmbeddedCharts) {
    auto chart = Chart::Load(text);
    if (!chart) {
      // The charts are compiled into the program and the tests load all of
      // them, so this is a programming error.
      core::Log(core::LogLevel::Error)
        .Write(core::LogLevel::Error,
               "chart_invalid",
               { { "chart", name }, { "message", chart.error() } });
      std::abort();
    }
    charts.emplace(name, std::move(chart.value()));
  }
  return charts;
}

} // namespace

Chart::LoadResult
Chart::Load(std::string_view aText)
{
  return ChartLoader().Load(aText);
}

const Chart&
Chart::Embedded(std::string_view aName)
{
  static const std::map<std::string_view, Chart> kCharts = LoadEmbedded();
  const auto found = kCharts.find(aName);
  assert(found != kCharts.end());
  return found->second;
}

std::size_t
Chart::Initial() const
{
  return this->initial;
}

const std::vector<std::string>&
Chart::States() const
{
  return this->states;
}

const std::vector<std::string>&
Chart::Events() const
{
  return this->events;
}

const std::vector<std::string>&
Chart::Actions() const
{
  return this->actions;
}

std::optional<std::size_t>
Chart::EventIndex(std::string_view aName) const
{
  return IndexOf(this->events, aName);
}

std::optional<std::size_t>
Chart::StateIndex(std::string_view aName) const
{
  return IndexOf(this->states, aName);
}

const std::optional<Chart::Transition>&
Chart::Find(std::size_t aState, std::size_t aEvent) const
{
  assert(aState < this->states.size());
  assert(aEvent < this->events.size());
  return this->transitions[aState][aEvent];
}

} // namespace fireflytrail::statechart
