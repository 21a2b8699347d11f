#include "core/ErrorTable.h"
#include "scenario/Scenario.h"

#include <algorithm>
#include <set>

namespace fireflytrail::scenario {

namespace {

using core::CallOutcome;
using core::ErrorTable;

bool
Says(const SimulatedReply& aReply, CallOutcome aOutcome)
{
  return !aReply.isLost && ErrorTable::RowOf(aReply.kind).outcome == aOutcome;
}

/** Reads the span of time from `from_ms` to `to_ms`; all if missing. */
std::function<bool(microseconds)>
ReadSpan(Fields& aFields)
{
  const auto from = aFields.Milliseconds("from_ms", 0);
  const auto to = aFields.Milliseconds("to_ms", 1e9);
  return [=](microseconds aAt) { return aAt >= from && aAt < to; };
}

/** Calls said to be "not run" that the servers' own record shows. */
double
FalseNotRun(const World& aWorld, Fields&)
{
  std::set<std::string> ran;
  for (const auto& run : aWorld.record.runs) {
    ran.insert(run.runKey);
  }
  return static_cast<double>(
    std::ranges::count_if(aWorld.record.replies, [&](const auto& aReply) {
      return Says(aReply.reply, CallOutcome::NotRun) &&
             ran.contains(aReply.runKey);
    }));
}

/** Runs beyond the first of each at-most-once call, over all its sends. */
double
DoubleRuns(const World& aWorld, Fields&)
{
  std::map<std::uint64_t, std::uint64_t> runs;
  double surplus = 0;
  for (const auto& run : aWorld.record.runs) {
    surplus +=
      aWorld.calls.at(run.call).atMostOnce && runs[run.sale]++ > 0 ? 1 : 0;
  }
  return surplus;
}

/** Complete answers for calls that no server ran, or of another call. */
double
FalseComplete(const World& aWorld, Fields&)
{
  std::set<std::uint64_t> ran;
  for (const auto& run : aWorld.record.runs) {
    ran.insert(run.sale);
  }
  return static_cast<double>(
    std::ranges::count_if(aWorld.record.replies, [&](const auto& aReply) {
      return Says(aReply.reply, CallOutcome::Complete) &&
             aReply.reply.status < 400 && !ran.contains(aReply.sale);
    }));
}

/** Calls that daemons ended with a kind. */
double
Ended(const World& aWorld, Fields& aFields)
{
  const std::string name = aFields.Text("kind");
  for (const auto& [kind, count] : aWorld.record.ended) {
    if (ErrorTable::RowOf(kind).name == name) {
      return static_cast<double>(count);
    }
  }
  return 0;
}

/** Share of sales with a complete answer among those first sent in a span. */
double
ShareComplete(const World& aWorld, Fields& aFields)
{
  const auto isIn = ReadSpan(aFields);
  const std::string call = aFields.Text("call", "");
  const bool firstOnly = aFields.Flag("first_send_only");
  std::set<std::uint64_t> all;
  std::set<std::uint64_t> complete;
  for (const auto& reply : aWorld.record.replies) {
    if (reply.isFirstSend && isIn(reply.sentAt) &&
        (call.empty() || reply.call == call)) {
      all.insert(reply.sale);
    }
  }
  for (const auto& reply : aWorld.record.replies) {
    if (all.contains(reply.sale) && (reply.isFirstSend || !firstOnly) &&
        Says(reply.reply, CallOutcome::Complete) && reply.reply.status < 500) {
      complete.insert(reply.sale);
    }
  }
  return all.empty() ? 0.0
                     : static_cast<double>(complete.size()) /
                         static_cast<double>(all.size());
}

/** Largest share of retries in first attempts over any 10 s of a service. */
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

/** Attempts marked as retries or below one. */
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

/** Runs that servers started in a span, by call, server or domain. */
double
RunsStarted(const World& aWorld, Fields& aFields)
{
  const auto isIn = ReadSpan(aFields);
  const std::string call = aFields.Text("call", "");
  const std::string server = aFields.Text("server", "");
  const std::string domain = aFields.Text("domain", "");
  return static_cast<double>(
    std::ranges::count_if(aWorld.record.runs, [&](const auto& aRun) {
      return isIn(aRun.at) && (call.empty() || aRun.call == call) &&
             (server.empty() || aRun.server == server) &&
             (domain.empty() || aRun.domain == domain);
    }));
}

/** Servers that died, by the call that crashed them or "" for steps. */
double
ServersLost(const World& aWorld, Fields& aFields)
{
  const auto found = aWorld.record.deaths.find(aFields.Text("call", ""));
  return found == aWorld.record.deaths.end()
           ? 0.0
           : static_cast<double>(found->second);
}

/**
 * First sends of a call that were not completed, beyond the calls that were on
 * servers when these died.
 */
double
LostElsewhere(const World& aWorld, Fields& aFields)
{
  const std::string call = aFields.Text("call");
  const auto lost = static_cast<double>(
    std::ranges::count_if(aWorld.record.replies, [&](const auto& aReply) {
      return aReply.call == call && aReply.isFirstSend &&
             !Says(aReply.reply, CallOutcome::Complete);
    }));
  return std::max(0.0, lost - static_cast<double>(aWorld.record.besideDeaths));
}

/** Latency that a share of a call's complete answers stays within. */
double
LatencyMs(const World& aWorld, Fields& aFields)
{
  const auto isIn = ReadSpan(aFields);
  const std::string call = aFields.Text("call");
  const double quantile = aFields.Number("quantile", 0.99);
  std::vector<microseconds> latencies;
  for (const auto& reply : aWorld.record.replies) {
    if (reply.call == call && isIn(reply.sentAt) &&
        Says(reply.reply, CallOutcome::Complete)) {
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
