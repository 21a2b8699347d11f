/**
 * Measures the traffic, processor time and staleness of the gossip protocol in
 * a virtual network, with and without configuration changes and evidence.
 */

#include "gossip/VirtualNetwork.h"
#include "gossip/WatcherElection.h"
#include "wire/FrameCodec.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <ctime>
#include <map>
#include <numeric>

DEFINE_uint64(seed, 1, "Seed of the random numbers of the virtual network.");
DEFINE_uint64(seconds, 480, "Virtual seconds that are measured.");
DEFINE_uint64(warm_up_seconds, 240, "Virtual seconds before the measurement.");
DEFINE_string(scenario, "", "Runs only this scenario.");
DEFINE_string(hosts, "19,40,60,100", "Numbers of hosts, one run for each.");
DEFINE_double(loss, 0, "Probability that a message is lost.");
DEFINE_int32(
  interval_per_host_ms,
  25,
  "Exchange interval for each host, in all at least 1 s; 0 keeps 1 s.");
DEFINE_double(paced_bytes_per_second,
              400,
              "Byte rate of evidence records; a very large value publishes "
              "them every second.");
DEFINE_double(record_bytes_per_second, 1200, "Byte rate of sent records.");
DEFINE_bool(patches, true, "Send documents as patches.");
DEFINE_uint64(
  serve_limit,
  2,
  "Whole documents that a daemon sends before it refers to others.");
DEFINE_uint64(evidence_bytes, 2048, "Size of one evidence record.");
DEFINE_bool(by_kind, false, "Print bytes a second by kind of message.");
DEFINE_bool(alternatives,
            false,
            "Print only the calculated traffic of alternative designs.");

using namespace fireflytrail;
using namespace fireflytrail::gossip;
using namespace std::chrono_literals;

namespace {

// 1,800 configuration changes a day.
constexpr auto kChangeInterval = 48s;

struct Scenario
{
  const char* name;
  bool hasChanges;
  bool hasEvidence;
};

struct Figures
{
  double meanBytes = 0;
  double maxBytes = 0;
  double cpuMicroseconds = 0;
  double inForceMean = 0;
  double inForceMax = 0;
  double heartbeatAgeMax = 0;
  std::size_t notAlive = 0;
  double evidenceAgeMean = 0;
  double evidenceAgeMax = 0;
  std::string byKind;
};

/** Returns a document of about 30 KB with 57 services. Each version of the
 * document changes one service. */
std::string
DocumentOf(std::uint64_t aVersion)
{
  std::string text =
    fmt::format("{{\"text_version\": {}, \"text\": ", aVersion);
  for (std::uint64_t service = 0; service < 57; ++service) {
    const std::uint64_t changed = aVersion % 57 == service ? aVersion : 0;
    text += fmt::format(
      "\"service-{0:02}\": {{ \"depends_on\": [\"service-{1:02}\", "
      "\"service-{2:02}\"], \"slots\": 4, \"connections\": 260,\n"
      "  \"connect_cost_us\": 1000, \"probe_cost_us\": 6000, "
      "\"measuring_budget\": 0.01, \"version\": \"{3}\",\n"
      "  \"calls\": {{ \"read-{0:02}\": {{ \"method\": \"GET\", \"path\": "
      "\"/read-{0:02}\", \"priority\": \"normal\", \"deadline_ms\": 500 }},\n"
      "    \"write-{0:02}\": {{ \"method\": \"POST\", \"path\": "
      "\"/write-{0:02}\", \"at_most_once\": true, \"priority\": \"urgent\", "
      "\"deadline_ms\": 2000 }},\n"
      "    \"list-{0:02}\": {{ \"method\": \"GET\", \"path\": "
      "\"/list-{0:02}\", \"priority\": \"low\", \"deadline_ms\": 900 }} }} "
      "}},\n",
      service,
      (service + 1) % 57,
      (service + 7) % 57,
      changed);
  }
  return text + "\"moves\": [] }";
}

/** Encodes and decodes a message, so that the processor time includes both, as
 * in the daemon. Returns the size of the frame in bytes. */
std::size_t
EncodeAndDecode(const GossipMessage& aMessage)
{
  const auto frame = std::visit(
    [](const auto& aValue) { return wire::FrameCodec::Encode(aValue); },
    aMessage);
  wire::FrameCodec codec;
  codec.Feed(
    { reinterpret_cast<const std::uint8_t*>(frame->data()), frame->size() });
  if (!codec.Next()) {
    fmt::print(stderr,
               "bench_gossip: an encoded message could not be decoded\n");
    std::exit(1);
  }
  return frame->size();
}

/** Returns the kind under which the bytes of a message are counted. */
std::string
KindOf(const GossipMessage& aMessage)
{
  if (const auto* delta = std::get_if<Delta>(&aMessage)) {
    switch (delta->kind) {
      case DeltaKind::Reply:
        return "reply";
      case DeltaKind::Final:
        return "final";
      case DeltaKind::Push:
        return "push";
    }
  }
  return std::holds_alternative<Digest>(aMessage) ? "digest" : "document";
}

class Run
{
public:
  Run(std::size_t aHostCount, const Scenario& aScenario)
    : network(FLAGS_seed)
    , count(aHostCount)
    , scenario(aScenario)
  {
    this->network.settings.exchangeIntervalPerHost =
      std::chrono::milliseconds(FLAGS_interval_per_host_ms);
    this->network.settings.pacedBytesPerSecond = FLAGS_paced_bytes_per_second;
    this->network.settings.recordBytesPerSecond = FLAGS_record_bytes_per_second;
    this->network.settings.sendsPatches = FLAGS_patches;
    this->network.settings.documentServeLimit = FLAGS_serve_limit;
    this->network.sizeOf = [this](const GossipMessage& aMessage) {
      const std::size_t size = EncodeAndDecode(aMessage);
      this->bytesByKind[KindOf(aMessage)] += size;
      return size;
    };
    this->network.loss = FLAGS_loss;
    this->network.accepted = [this](std::size_t, std::uint64_t aVersion) {
      this->RecordInForce(aVersion);
    };
    std::vector<std::size_t> all(aHostCount);
    std::iota(all.begin(), all.end(), 0);
    for (const std::size_t index : all) {
      this->network.Start(index);
    }
    for (const std::size_t index : all) {
      this->network.SetList(index, all);
    }
  }

  Figures Measure()
  {
    this->ChangeDocument();
    if (this->scenario.hasEvidence) {
      this->network.At(20s, [this] { this->PublishEvidence(); });
    }
    this->network.Run(std::chrono::seconds(FLAGS_warm_up_seconds));
    for (auto& host : this->network.hosts) {
      host.bytesSent = 0;
      host.bytesReceived = 0;
    }
    this->inForceSeconds.clear();
    this->bytesByKind.clear();
    const std::clock_t before = std::clock();
    for (std::uint64_t second = 0; second < FLAGS_seconds; ++second) {
      this->network.Run(1s);
      this->Sample();
    }
    const std::clock_t after = std::clock();
    return this->Summarize(static_cast<double>(after - before) /
                           CLOCKS_PER_SEC);
  }

private:
  void ChangeDocument()
  {
    const std::uint64_t version = ++this->newestVersion;
    const std::string document = DocumentOf(version);
    this->offeredAt[version] = this->network.Now();
    const auto alive = this->network.Node(0).Members().AliveNames();
    for (std::size_t index = 0; index < this->count; ++index) {
      auto& host = this->network.hosts[index];
      if (!WatcherElection::IsWatcher(host.name, alive)) {
        continue;
      }
      this->network.At(
        5ms + std::chrono::milliseconds(this->network.random() % 30),
        [this, index, version, document] {
          auto& watcher = this->network.hosts[index];
          watcher.bytesReceived += document.size();
          watcher.node->Desired().OfferFromStore(version, document);
        });
    }
    if (this->scenario.hasChanges) {
      this->network.At(kChangeInterval, [this] { this->ChangeDocument(); });
    }
  }

  void RecordInForce(std::uint64_t aVersion)
  {
    if (++this->inForceCount[aVersion] == this->count) {
      const std::chrono::duration<double> elapsed =
        this->network.Now() - this->offeredAt[aVersion];
      this->inForceSeconds.push_back(elapsed.count());
    }
  }

  void PublishEvidence()
  {
    // The value starts with the time of publication, from which Sample()
    // computes its age.
    const auto now = this->network.Now().time_since_epoch().count();
    std::string value = fmt::format("{:020}", now);
    value.resize(std::max<std::size_t>(FLAGS_evidence_bytes, 20), 'e');
    for (auto& host : this->network.hosts) {
      host.node->Exchanger().PublishPaced("evidence", value);
    }
    this->network.At(1s, [this] { this->PublishEvidence(); });
  }

  void Sample()
  {
    for (std::size_t observer = 0; observer < this->count; ++observer) {
      const GossipNode& node = this->network.Node(observer);
      for (const auto& [name, origin] : node.State().Origins()) {
        if (origin.id == node.State().Self()) {
          continue;
        }
        const std::chrono::duration<double> age =
          this->network.Now() - origin.lastHeartbeatAt;
        this->figures.heartbeatAgeMax =
          std::max(this->figures.heartbeatAgeMax, age.count());
        const auto state = node.Members().StateOf(name);
        this->figures.notAlive += state != MemberState::Alive ? 1 : 0;
        const Record* record = node.State().FindRecord(name, "evidence");
        if (record != nullptr) {
          const std::chrono::nanoseconds written(
            std::stoll(record->value.substr(0, 20)));
          const std::chrono::duration<double> evidenceAge =
            this->network.Now().time_since_epoch() - written;
          this->figures.evidenceAgeMean += evidenceAge.count();
          this->figures.evidenceAgeMax =
            std::max(this->figures.evidenceAgeMax, evidenceAge.count());
          ++this->evidenceCount;
        }
      }
    }
  }

  Figures Summarize(double aCpuSeconds)
  {
    const auto seconds = static_cast<double>(FLAGS_seconds);
    for (const auto& host : this->network.hosts) {
      const double bytes =
        static_cast<double>(host.bytesSent + host.bytesReceived) / seconds;
      this->figures.meanBytes += bytes / static_cast<double>(this->count);
      this->figures.maxBytes = std::max(this->figures.maxBytes, bytes);
    }
    this->figures.cpuMicroseconds =
      1e6 * aCpuSeconds / seconds / static_cast<double>(this->count);
    for (const double elapsed : this->inForceSeconds) {
      this->figures.inForceMean +=
        elapsed / static_cast<double>(this->inForceSeconds.size());
      this->figures.inForceMax = std::max(this->figures.inForceMax, elapsed);
    }
    for (const auto& [kind, bytes] : this->bytesByKind) {
      // Each byte is sent by one daemon and received by another.
      this->figures.byKind +=
        fmt::format(" {} {:.0f}",
                    kind,
                    2 * static_cast<double>(bytes) / seconds /
                      static_cast<double>(this->count));
    }
    if (this->evidenceCount > 0) {
      this->figures.evidenceAgeMean /= static_cast<double>(this->evidenceCount);
    }
    return this->figures;
  }

  VirtualNetwork network;
  std::size_t count;
  Scenario scenario;
  std::uint64_t newestVersion = 0;
  std::map<std::uint64_t, core::TimePoint> offeredAt;
  std::map<std::uint64_t, std::size_t> inForceCount;
  std::vector<double> inForceSeconds;
  std::size_t evidenceCount = 0;
  std::map<std::string, std::uint64_t> bytesByKind;
  Figures figures;
};

/**
 * Prints, for alternative designs at the same heartbeat rate, the bytes a
 * second that one daemon sends and receives, calculated from the sizes of real
 * frames, and the reads a second of a store that all daemons watch.
 */
void
PrintAlternatives(const std::vector<std::size_t>& aHostCounts)
{
  Delta heartbeat;
  heartbeat.kind = DeltaKind::Push;
  heartbeat.heartbeats.push_back({ 1, 1 });
  const std::size_t heartbeatSize = EncodeAndDecode(heartbeat);
  // SWIM: ping and acknowledgement, each with 6 piggybacked updates.
  Delta ping = heartbeat;
  ping.heartbeats.resize(6, { 1, 1 });
  const std::size_t pingSize = EncodeAndDecode(ping);
  const std::size_t documentSize = DocumentOf(1).size();
  fmt::print("{:>6} {:>18} {:>12} {:>22} {:>24}\n",
             "hosts",
             "full mesh B/s",
             "SWIM B/s",
             "store reads/s (all)",
             "store bytes B/s, changes");
  for (const std::size_t count : aHostCounts) {
    // A watch returns after a change or after 10 s.
    const double reads = static_cast<double>(count) * (0.1 + 1.0 / 48);
    fmt::print("{:>6} {:>18} {:>12} {:>22.1f} {:>24.0f}\n",
               count,
               2 * (count - 1) * heartbeatSize,
               4 * pingSize,
               reads,
               static_cast<double>(documentSize) / 48);
  }
  fmt::print("frame of one heartbeat {} B, SWIM message {} B, document {} B\n",
             heartbeatSize,
             pingSize,
             documentSize);
}

std::vector<std::size_t>
ParseHostCounts(const std::string& aList)
{
  std::vector<std::size_t> hostCounts;
  std::size_t start = 0;
  while (start < aList.size()) {
    const std::size_t end = std::min(aList.find(',', start), aList.size());
    hostCounts.push_back(std::stoul(aList.substr(start, end - start)));
    start = end + 1;
  }
  return hostCounts;
}

} // namespace

int
main(int aArgumentCount, char** aArguments)
{
  gflags::ParseCommandLineFlags(&aArgumentCount, &aArguments, true);
  const std::vector<std::size_t> hostCounts = ParseHostCounts(FLAGS_hosts);
  if (FLAGS_alternatives) {
    PrintAlternatives(hostCounts);
    return 0;
  }
  constexpr Scenario kScenarios[] = {
    { "steady", false, false },
    { "changes", true, false },
    { "move", false, true },
    { "changes+move", true, true },
  };
  fmt::print("seed {}, {} s, loss {}; bytes sent and received by one daemon; "
             "processor time includes the virtual network\n",
             FLAGS_seed,
             FLAGS_seconds,
             FLAGS_loss);
  fmt::print("{:<13} {:>5} {:>9} {:>9} {:>9} {:>14} {:>9} {:>9} {:>14}\n",
             "scenario",
             "hosts",
             "mean B/s",
             "max B/s",
             "cpu us/s",
             "in force s",
             "beat age",
             "not alive",
             "evidence age");
  for (const Scenario& scenario : kScenarios) {
    if (!FLAGS_scenario.empty() && FLAGS_scenario != scenario.name) {
      continue;
    }
    for (const std::size_t count : hostCounts) {
      const Figures figures = Run(count, scenario).Measure();
      fmt::print("{:<13} {:>5} {:>9.0f} {:>9.0f} {:>9.0f} {:>6.2f} /{:>6.2f} "
                 "{:>9.1f} {:>9} {:>6.1f} /{:>6.1f}\n",
                 scenario.name,
                 count,
                 figures.meanBytes,
                 figures.maxBytes,
                 figures.cpuMicroseconds,
                 figures.inForceMean,
                 figures.inForceMax,
                 figures.heartbeatAgeMax,
                 figures.notAlive,
                 figures.evidenceAgeMean,
                 figures.evidenceAgeMax);
      if (FLAGS_by_kind) {
        fmt::print("    B/s by kind:{}\n", figures.byKind);
      }
      std::fflush(stdout);
    }
  }
  fmt::print("pairs are mean / maximum in seconds; 'beat age' is the maximum "
             "age of a heartbeat in seconds; 'not alive' counts live hosts "
             "considered suspect or dead, over all observers and seconds\n");
  return 0;
}
