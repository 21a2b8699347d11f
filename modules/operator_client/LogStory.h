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
 * Finds in the logs of daemons what became of one request: the lines that name
 * its id, and what the daemons that handled it believed at that moment. Not
 * thread-safe.
 */
class LogStory
{
public:
  /** `aId` is the caller's id of the attempt. */
  explicit LogStory(std::string aId);

  /** Takes a line of a daemon's log, in the order of the log. Text before the
   * JSON object is skipped; lines without one are counted only. */
  void AddLine(const std::string& aSource, std::string_view aLine);

  /** Whether any line names the request. */
  bool IsFound() const { return !this->requestLines.empty(); }

  /** Returns the story by time, one line each, and last the conclusion. */
  std::vector<std::string> Tell() const;

  /** Returns the lines that could not be read. */
  std::size_t UnreadableCount() const { return this->unreadable; }

private:
  struct Line
  {
    std::string source;
    boost::json::object fields;
    std::string time;
    std::string event;
  };

  std::vector<const Line*> BeliefsOf(const std::string& aSource) const;
  bool Concerns(const Line& aBelief) const;
  std::string ConclusionOf(const Line& aEnd) const;

  std::string id;
  std::vector<Line> requestLines;
  std::vector<Line> beliefs;
  std::size_t unreadable = 0;
};

} // namespace fireflytrail::operator_client
