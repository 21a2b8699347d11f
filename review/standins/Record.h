#pragma once

#include <chrono>
#include <fstream>
#include <map>
#include <string>
#include <vector>

namespace fireflytrail::review {

/**
 * Records what requesters sent, what they got, and what instances ran, and
 * writes each event to a file. Not thread-safe.
 */
class Record
{
public:
  /** One run of a request at an instance. */
  struct Run
  {
    std::string instance;
    std::string service;
    std::chrono::steady_clock::time_point begin;
    std::chrono::steady_clock::time_point end;
    bool hasEnded = false;
  };

  /** One requester attempt. */
  struct Request
  {
    /** Service to which the desired state sends the request. */
    std::string service;
    std::string daemon;
    bool isRepeatable = false;
    std::chrono::steady_clock::time_point sentAt;
    std::chrono::steady_clock::time_point endedAt;
    /** Status of the answer; 0 if there is none, -1 if it is still due. */
    int status = -1;
    bool hasSignature = false;
    std::string body;
    std::vector<Run> runs;
  };

  explicit Record(const std::string& aPath);

  /** Writes a line with the time since the start. */
  void Write(const std::string& aLine);

  /** Returns the request with an id; creates it if there is none. */
  Request& At(const std::string& aId) { return this->requests[aId]; }

  const std::map<std::string, Request>& Requests() const
  {
    return this->requests;
  }

private:
  std::chrono::steady_clock::time_point start;
  std::ofstream file;
  std::map<std::string, Request> requests;
};

} // namespace fireflytrail::review
