#pragma once

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>

namespace fireflytrail::review {

/** Writes the record of a case: a line with the time for each event.
 * Thread-safe. */
class Recorder
{
public:
  /** Replaces `record.txt` in a folder. */
  explicit Recorder(const std::string& aFolder);

  /** Adds a line. */
  void Write(const std::string& aLine);

  /** Returns the time since the start of the record. */
  std::chrono::milliseconds Elapsed() const;

private:
  std::mutex mutex;
  std::ofstream file;
  std::chrono::steady_clock::time_point begin =
    std::chrono::steady_clock::now();
};

} // namespace fireflytrail::review
