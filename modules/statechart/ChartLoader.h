#pragma once

#include "statechart/Chart.h"

#include <boost/json/object.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace fireflytrail::statechart {

/** Parses one chart from JSON and validates it. */
class ChartLoader
{
public:
  /** Loads a chart; call at most once per loader. Not thread-safe. */
  Chart::LoadResult Load(std::string_view aText);

private:
  bool ReadNames(const boost::json::object& aObject,
                 std::string_view aKey,
                 std::vector<std::string>& aNames);
  bool ReadState(const boost::json::object& aObject, std::size_t aState);
  bool ReadTransition(const boost::json::value& aValue,
                      std::size_t aState,
                      std::size_t aEvent);
  bool CheckReachable();
  bool CheckActionsUsed();
  /** Stores the error message and returns false. */
  bool Fail(std::string aMessage);

  Chart chart;
  std::string message;
};

} // namespace fireflytrail::statechart
