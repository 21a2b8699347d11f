#include "core/ErrorTable.h"
#include "scenario/Scenario.h"

#include <algorithm>
#include <set>

namespace fireflytrail::scenario {

namespace {

using core::CallOutcome;
using core::ErrorTable;

bool
HasOutcome(const SimulatedReply& aReply, CallOutcome aOutcome)
{
  return !aReply.isLost && ErrorTable::RowOf(aReply.kind).outcome == aOutcome;
}

/** Reads the time range from `from_ms` to `to_ms`; unlimited by default. */
std::function<bool(microseconds)>
ReadTimeRange(Fields& aFields)
{
  const auto from = aFields.Milliseconds("from_ms", 0);
  const auto to = aFields.Milliseconds("to_ms", 1e9);
  return [=](microseconds aAt) { return aAt >= from && aAt < to; };
}

/** "Not run" answers for requests that ran according to the servers' record. */
double
FalseNotRun(const World& aWorld, Fields&)
{
  std::set<std::string> ran;
  for (const auto& run : aWorld.record.runs) {
    ran.insert(run.runKey);
  }
  return static_cast<double>(
    std::ranges::count_if(aWorld.record.replies, [&](const auto& aReply) {
      return HasOutcome(aReply.reply, CallOutcome::NotRun) &&
             ran.contains(aReply.runKey);
    }));
}

/** Runs of at-most-once calls after the first run, over all sends of a call. */
double
DoubleRuns(const World& aWorld, Fields&)
{
  std::map<std::uint64_t, std::uint64_t> runs;
  double surplus = 0;
  for (const auto& run : aWorld.record.runs) {
    surplus +=
      aWorld.calls.at(run.call).atMostOnce && runs[run.logicalCall]++ > 0 ? 1
                                                                          : 0;
  }
  return surplus;
}

/**
 * Complete answers with a status below 400 for calls that no server ran, such
 * as answers that belong to another call.
 */
double
FalseComplete(const World& aWorld, Fields&)
{
  std::set<std::uint64_t> ran;
  for (const auto& run : aWorld.record.runs) {
    ran.insert(run.logicalCall);
  }
  return static_cast<double>(
    std::ranges::count_if(aWorld.record.replies, [&](const auto& aReply) {
      return HasOutcome(aReply.reply, CallOutcome::Complete) &&
             aReply.reply.status < 400 && !ran.contains(aReply.logicalCall);
    }));
}

/** Calls that daemons ended with the error kind of the field `kind`. */
double
Ended(const World& aWorld, Fields& aFields)
{
  const std::string name = aFields.String("kind");
  for (const auto& [kind, count] : aWorld.record.ended) {
    if (ErrorTable::RowOf(kind).name == name) {
      return static_cast<double>(count);
    }
  }
  return 0;
}

/**
 * Share of calls first sent in a time range that got a complete answer with a
 * status below 500.
 */
double
ShareComplete(const World& aWorld, Fields& aFields)
{
  const auto isInRange = ReadTimeRange(aFields);
  const std::string call = aFields.String("call", "");
  const bool firstOnly = aFields.Flag("first_send_only");
  std::set<std::uint64_t> all;
  std::set<std::uint64_t> complete;
  for (const auto& reply : aWorld.record.replies) {
    if (reply.isFirstSend && isInRange(reply.sentAt) &&
        (call.empty() || reply.call == call)) {
      all.insert(reply.logicalCall);
    }
  }
  for (const auto& reply : aWorld.record.replies) {
    if (all.contains(reply.logicalCall) && (reply.isFirstSend || !firstOnly) &&
        HasOutcome(reply.reply, CallOutcome::Complete) &&
        reply.reply.status < 500) {
      complete.insert(reply.logicalCall);
    }
  }
  return all.empty() ? 0.0
                     : static_cast<double>(complete.size()) /
                         static_cast<double>(all.size());
}

/** Largest ratio of retries to first attempts of a service in any 10 s. */
double
RetryShare(const World& aWorld, Fields&)
{
  constexpr std::chrono::seconds kWindow{ 10 };
  double largest = 0;
  for (const auto& [service, attempts] : aWorld.record.attempts) {
    std::size_t begin = 0;
    std::uint64_t retries = 0;
    std::uint64_t firsts = 0;
    for (const auto& attempt : attempts) {
      (attempt.isRetry ? retries : firsts) += 1;
      while (attempts[begin].at <= attempt.at - kWindow) {
        (attempts[begin++].isRetry ? retries : firsts) -= 1;
      }
      if (attempt.isRetry) {
        largest =
          std::max(largest,
                   static_cast<double>(retries) /
                     static_cast<double>(std::max<std::uint64_t>(firsts, 1)));
      }
    }
  }
  return largest;
}

/** Attempts that are retries, or that belong to nested calls of a retry. */
double
Retries(const World& aWorld, Fields&)
{
  std::size_t count = 0;
  for (const auto& [service, attempts] : aWorld.record.attempts) {
    count += static_cast<std::size_t>(
      std::ranges::count(attempts, true, &Record::Attempt::isRetry));
  }
  return static_cast<double>(count);
}

/** Runs that servers started in a time range, by call, server or domain. */
double
RunsStarted(const World& aWorld, Fields& aFields)
{
  const auto isInRange = ReadTimeRange(aFields);
  const std::string call = aFields.String("call", "");
  const std::string server = aFields.String("server", "");
  const std::string domain = aFields.String("domain", "");
  return static_cast<double>(
    std::ranges::count_if(aWorld.record.runs, [&](const auto& aRun) {
      return isInRange(aRun.at) && (call.empty() || aRun.call == call) &&
             (server.empty() || aRun.server == server) &&
             (domain.empty() || aRun.domain == domain);
    }));
}

/** Server deaths caused by `call`, or by steps if it is empty. */
double
ServersLost(const World& aWorld, Fields& aFields)
{
  const auto found = aWorld.record.deaths.find(aFields.String("call", ""));
  return found == aWorld.record.deaths.end()
           ? 0.0
           : static_cast<double>(found->second);
}

/**
 * First sends of a call that did not complete, minus `collateralCalls`, which
 * were lost with the servers that died.
 */
double
LostElsewhere(const World& aWorld, Fields& aFields)
{
  const std::string call = aFields.String("call");
  const auto lost = static_cast<double>(
    std::ranges::count_if(aWorld.record.replies, [&](const auto& aReply) {
      return aReply.call == call && aReply.isFirstSend &&
             !HasOutcome(aReply.reply, CallOutcome::Complete);
    }));
  return std::max(0.0,
                  lost - static_cast<double>(aWorld.record.collateralCalls));
}

/** Quantile of the latency of a call's complete answers, in milliseconds. */
double
LatencyMs(const World& aWorld, Fields& aFields)
{
  const auto isInRange = ReadTimeRange(aFields);
  const std::string call = aFields.String("call");
  const double quantile = aFields.Number("quantile", 0.99);
  std::vector<microseconds> latencies;
  for (const auto& reply : aWorld.record.replies) {
    if (reply.call == call && isInRange(reply.sentAt) &&
        HasOutcome(reply.reply, CallOutcome::Complete)) {
      latencies.push_back(reply.at - reply.sentAt);
    }
  }
  if (latencies.empty()) {
    return 1e9;
  }
  std::ranges::sort(latencies);
  const auto index = static_cast<std::size_t>(
    quantile * static_cast<double>(latencies.size() - 1));
  return static_cast<double>(latencies[index].count()) / 1000.0;
}

} // namespace

const std::map<std::string, ExpectationEvaluator>&
ExpectationEvaluators()
{
  static const std::map<std::string, ExpectationEvaluator> kReaders{
    { "false_not_run", FalseNotRun },
    { "false_complete", FalseComplete },
    { "double_runs", DoubleRuns },
    { "ended", Ended },
    { "share_complete", ShareComplete },
    { "retry_share", RetryShare },
    { "retries", Retries },
    { "runs_started", RunsStarted },
    { "servers_lost", ServersLost },
    { "lost_elsewhere", LostElsewhere },
    { "latency_ms", LatencyMs },
    { "deadline_faults",
      [](const World& aWorld, Fields&) {
        return static_cast<double>(aWorld.record.deadlineFaults);
      } },
    { "writes_accepted",
      [](const World& aWorld, Fields&) {
        return static_cast<double>(aWorld.record.writesAccepted);
      } },
    { "write_conflicts",
      [](const World& aWorld, Fields&) {
        return static_cast<double>(aWorld.record.writeConflicts);
      } },
    { "writes_failed",
      [](const World& aWorld, Fields&) {
        return static_cast<double>(aWorld.record.writesFailed);
      } },
  };
  return kReaders;
}

} // namespace fireflytrail::scenario
