#pragma once

#include <boost/json/object.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace fireflytrail::operator_client {

/**
 * Collects from daemons' logs what happened to one request: the lines with its
 * id, and the state that the daemons which handled it had at the time of the
 * request. Not thread-safe.
 */
class RequestTrace
{
public:
  /** `aId` is the id that the caller gave to the attempt. */
  explicit RequestTrace(std::string aId);

  /**
   * Adds a line of the log `aSource`, which stands for one daemon; must be
   * called in the order of the log. Text before the JSON object is skipped.
   * Lines without a valid JSON object are only counted.
   */
  void AddLine(const std::string& aSource, std::string_view aLine);

  /** Returns whether any line has the id of the request. */
  bool IsFound() const { return !this->requestLines.empty(); }

  /** Returns one line for each event, in order of time, followed by one line
   * with the result. Events that report the daemon's state instead of the
   * request are marked `believed`. */
  std::vector<std::string> Format() const;

  /** Returns the number of lines without a valid JSON object. */
  std::size_t UnreadableCount() const { return this->unreadable; }

private:
  struct Line
  {
    std::string source;
    boost::json::object fields;
    std::string time;
    std::string event;
  };

  std::vector<const Line*> FindDaemonState(const std::string& aSource) const;
  bool IsRelevant(const Line& aStateLine) const;
  std::string DescribeResult(const Line& aEnd) const;
  /** Describes a connection or request that ended without an answer. */
  std::string DescribeCut(const Line& aLine) const;

  std::string id;
  std::vector<Line> requestLines;
  std::vector<Line> stateLines;
  std::size_t unreadable = 0;
};

} // namespace fireflytrail::operator_client
