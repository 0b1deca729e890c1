// Measures how costs grow with size; docs/CAPACITY.md computes the cost of each
// role from the slopes.
//
//   tools/measure_capacity.sh            # builds, runs, writes the JSON
//   build/capacity_bench FILE.json       # prints the table, writes FILE.json
//
// Sections: look-up, feed, allotments, registry, claims, log, frames, output.

#include <cstdio>
#include <fstream>
#include <iostream>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <boost/json.hpp>

#include "capacity_deployment.h"
#include "capacity_fit.h"
#include "control/command.h"
#include "control/proposal.h"
#include "control/snapshot.h"
#include "control/state_machine.h"
#include "feed/change.h"
#include "feed/publisher.h"
#include "feed/subscriber.h"
#include "gen/allotments_wire.h"
#include "gen/control_wire.h"
#include "gen/feed_wire.h"
#include "gen/membership_wire.h"
#include "limits/planner.h"
#include "limits/topology.h"
#include "lookup/table.h"
#include "membership/registry.h"
#include "steering/upstream_view.h"
#include "storage/fake_disk.h"
#include "storage/log_store.h"
#include "wire/frame_opener.h"
#include "wire/frame_sealer.h"

namespace jujube::bench {
namespace {

constexpr std::uint64_t kStartMs = 1'700'000'000'000;
constexpr MonoTime kNow{std::chrono::hours(1)};
// Results of measured calls are stored here so that the compiler keeps the
// calls.
volatile std::uint64_t g_sink = 0;

class MeasurementReport {
 public:
  void Add(const char* group,
           const char* measure,
           const char* unit,
           const char* size_unit,
           double size,
           double value) {
    for (Series& series : m_series) {
      if (series.m_group == group && series.m_measure == measure &&
          series.m_size_unit == size_unit) {
        series.m_points.push_back({size, value});
        return;
      }
    }
    m_series.push_back({group, measure, unit, size_unit, {{size, value}}});
  }

  const std::vector<Series>& AllSeries() const { return m_series; }

 private:
  std::vector<Series> m_series;
};

// ---- Look-up ---------------------------------------------------------------

void MeasureLookupTable(MeasurementReport& report,
                        const char* size_unit,
                        double size,
                        const Deployment& deployment) {
  const auto add = [&](const char* name, const char* unit, double value) {
    report.Add("lookup", name, unit, size_unit, size, value);
  };
  const lookup::Table table = lookup::Table::Build(deployment, {}).value();
  add("table", "bytes", static_cast<double>(table.Bytes()));
  add("build", "us", MinCpuMicros([&] {
        g_sink =
            lookup::Table::Build(deployment, {}).value().DeploymentNumber();
      }));
  const ServiceId service{"pumplog"};
  std::uint32_t next_caller = 0;
  std::vector<lookup::IpAddress> callers;
  for (std::size_t i = 0; i < 65536; ++i) {
    const std::size_t block = i * 2654435761U % deployment.m_blocks.size();
    const std::string& prefix = deployment.m_blocks[block].m_prefix;
    callers.push_back(
        lookup::ParseAddress(prefix.substr(0, prefix.find('/'))).value());
  }
  add("look-up", "us",
      MinCpuMicros([&] {
        for (int i = 0; i < 1000; ++i) {
          g_sink = table.Find(service, callers[++next_caller % callers.size()])
                       .m_hosts.size();
        }
      }) / 1000);
}

void MeasureLookup(MeasurementReport& report) {
  for (const std::size_t blocks : {2800U, 28000U, 280000U}) {
    MeasureLookupTable(report, "blocks", static_cast<double>(blocks),
                       MakeDeployment(blocks, kHosts));
  }
  for (const std::size_t hosts : {100U, 400U, 1400U}) {
    MeasureLookupTable(report, "hosts", static_cast<double>(hosts),
                       MakeDeployment(28000, hosts));
  }
}

// ---- Feed ------------------------------------------------------------------

constexpr std::size_t kChangedBlocks = 100;  // per change

void MeasureFeedOfDeployment(MeasurementReport& report,
                             const char* size_unit,
                             double size,
                             Deployment deployment) {
  const auto add = [&](const char* name, const char* unit, double value) {
    report.Add("feed", name, unit, size_unit, size, value);
  };
  const auto old_state = std::make_shared<const FeedState>(
      feed::Canonical({.m_index = 1, .m_deployment = deployment}));
  const std::size_t step = deployment.m_blocks.size() / kChangedBlocks;
  for (std::size_t i = 0; i < deployment.m_blocks.size(); i += step)
    deployment.m_blocks[i] = MakeBlock(i, i + 1);
  deployment.m_number = 2;
  const auto new_state = std::make_shared<const FeedState>(
      feed::Canonical({.m_index = 2, .m_deployment = std::move(deployment)}));
  const FeedChange change = feed::MakeChange(*old_state, *new_state).value();
  const std::string bytes = Encode(change);
  add("change", "bytes", static_cast<double>(bytes.size()));
  add("change: make and encode", "us", MinCpuMicros([&] {
        g_sink =
            Encode(feed::MakeChange(*old_state, *new_state).value()).size();
      }));
  add("change: decode and apply", "us", MinCpuMicros([&] {
        feed::Subscriber subscriber(old_state);
        (void)subscriber.OnChange(DecodeFeedChange(bytes).value());
        g_sink = subscriber.Index();
      }));
  feed::Publisher publisher;
  (void)publisher.Publish(old_state);
  std::vector<std::string> chunks;
  feed::Cursor cursor;
  double snapshot_bytes = 0;
  while (const auto message = publisher.NextMessage(&cursor)) {
    chunks.push_back(*message->m_payload);
    snapshot_bytes += static_cast<double>(message->m_payload->size());
  }
  add("snapshot", "bytes", snapshot_bytes);
  add("snapshot: encode", "us", MinCpuMicros([&] {
        publisher.ReleaseUnusedSnapshot();
        feed::Cursor other;
        while (const auto message = publisher.NextMessage(&other))
          g_sink = message->m_payload->size();
      }));
  add("snapshot: decode and apply", "us", MinCpuMicros([&] {
        feed::Subscriber subscriber;
        for (const std::string& chunk : chunks)
          (void)subscriber.OnChunk(DecodeFeedSnapshotChunk(chunk).value());
        g_sink = subscriber.Index();
      }));
  const double heap_before = AllocatedHeapBytes();
  const auto copy = std::make_unique<FeedState>(*old_state);
  add("state in memory", "bytes", AllocatedHeapBytes() - heap_before);
}

void MeasureFanOut(MeasurementReport& report) {
  const auto old_state = std::make_shared<const FeedState>(feed::Canonical(
      {.m_index = 1, .m_deployment = MakeDeployment(2800, 100)}));
  FeedState next = *old_state;
  next.m_index = 2;
  const auto new_state = std::make_shared<const FeedState>(std::move(next));
  feed::Publisher publisher;
  (void)publisher.Publish(old_state);
  (void)publisher.Publish(new_state);
  for (const std::size_t subscribers : {10U, 100U, 1000U}) {
    report.Add("feed", "fan-out of a change, sockets aside", "us",
               "subscribers", static_cast<double>(subscribers),
               MinCpuMicros([&] {
                 for (std::size_t i = 0; i < subscribers; ++i) {
                   feed::Cursor cursor{.m_index = 1};
                   g_sink = publisher.NextMessage(&cursor)->m_payload->size();
                 }
               }));
  }
}

void MeasureFeed(MeasurementReport& report) {
  for (const std::size_t blocks : {2800U, 28000U, 280000U}) {
    MeasureFeedOfDeployment(report, "blocks", static_cast<double>(blocks),
                            MakeDeployment(blocks, kHosts));
  }
  for (const std::size_t hosts : {100U, 400U, 1400U}) {
    MeasureFeedOfDeployment(report, "hosts", static_cast<double>(hosts),
                            MakeDeployment(2800, hosts));
  }
  MeasureFanOut(report);
}

// ---- Allotments ------------------------------------------------------------

AllotmentRequest MakeAllotmentRequest(std::size_t host,
                                      std::size_t limits,
                                      std::uint64_t sequence) {
  AllotmentRequest request{.m_host = {NumberedName("entry-", host)},
                           .m_incarnation = 1,
                           .m_sequence = sequence,
                           .m_adopted = sequence - 1,
                           .m_index_in_force = 1};
  for (std::size_t i = 0; i < limits; ++i) {
    request.m_demands.push_back(
        {.m_limit =
             limits::SlotLimit({"pumplog"}, {NumberedName("instance-", i)}),
         .m_cap = 9,
         .m_availability_zone = {NumberedName("zone-", i % kZones)},
         .m_in_use = 1,
         .m_wanted = 3});
  }
  return request;
}

// Each host demands slots of `limits` instances. The ledger also has the caps
// of the document: 182 link directions, 14 regions and a shift limit for each
// of 390 sites.
void MeasurePlan(MeasurementReport& report,
                 const char* size_unit,
                 std::size_t size,
                 std::size_t hosts,
                 std::size_t limits) {
  const auto add = [&](const char* name, const char* unit, double value) {
    report.Add("allotments", name, unit, size_unit, static_cast<double>(size),
               value);
  };
  const limits::Topology topology =
      limits::MakeTopology(MakeDeployment(100, hosts));
  limits::Planner planner;
  std::vector<HostId> names;
  for (std::size_t i = 0; i < hosts; ++i) {
    planner.OnRequest(MakeAllotmentRequest(i, limits, 1), kNow);
    names.push_back({NumberedName("entry-", i)});
  }
  const double heap_before = AllocatedHeapBytes();
  limits::Ledger ledger;
  ledger.SetDocumentCaps(topology.m_caps);
  const std::vector<HostRenewal> renewals =
      planner.Plan(names, topology, ledger, kNow);
  for (const HostRenewal& renewal : renewals)
    ledger.Renew(renewal, 1);
  add("plan of one round", "us", MinCpuMicros([&] {
        g_sink = planner.Plan(names, topology, ledger, kNow).size();
      }));
  add("log entry of one round", "bytes",
      static_cast<double>(Encode(RenewCommand{.m_renewals = renewals}).size()));
  add("ledger: apply one round", "us", MinCpuMicros([&] {
        limits::Ledger copy = ledger;
        for (const HostRenewal& renewal : renewals)
          g_sink = copy.Renew(renewal, 2).size();
      }));
  double ledger_bytes = 0;
  for (const LedgerLine& line : ledger.Lines())
    ledger_bytes += static_cast<double>(Encode(line).size());
  add("ledger in a snapshot", "bytes", ledger_bytes);
  add("ledger and one plan in memory", "bytes",
      AllocatedHeapBytes() - heap_before);
}

void MeasureAllotments(MeasurementReport& report) {
  for (const std::size_t limits : {48U, 200U, 800U}) {
    const auto size = static_cast<double>(limits);
    const AllotmentRequest request = MakeAllotmentRequest(1, limits, 2);
    const std::string bytes = Encode(request);
    AllotmentReply reply{.m_sequence = 2};
    for (const AllotmentDemand& demand : request.m_demands)
      reply.m_allotments.push_back(
          {.m_limit = demand.m_limit, .m_safe = 1, .m_leased = 1});
    report.Add("allotments", "request", "bytes", "limits", size,
               static_cast<double>(bytes.size()));
    report.Add("allotments", "reply", "bytes", "limits", size,
               static_cast<double>(Encode(reply).size()));
    report.Add(
        "allotments", "request: encode and decode", "us", "limits", size,
        MinCpuMicros([&] {
          g_sink =
              DecodeAllotmentRequest(Encode(request)).value().m_demands.size();
        }));
  }
  for (const std::size_t hosts : {100U, 400U, 1400U}) {
    const Deployment deployment = MakeDeployment(0, hosts);
    report.Add("allotments", "topology: make", "us", "hosts",
               static_cast<double>(hosts), MinCpuMicros([&] {
                 g_sink = limits::MakeTopology(deployment).m_caps.size();
               }));
  }
  for (const std::size_t hosts : {7U, 28U, 112U, 448U})
    MeasurePlan(report, "hosts, 48 limits", hosts, hosts, 48);
  for (const std::size_t limits : {48U, 192U, 768U})
    MeasurePlan(report, "limits, 28 hosts", limits, 28, limits);
}

// ---- Registry --------------------------------------------------------------

RegistryEntry MakeRegistryEntry(std::size_t number, std::uint64_t sequence) {
  return {.m_announcement = {
              .m_service = {"pumplog"},
              .m_instance = {NumberedName("instance-", number)},
              .m_incarnation = 1,
              .m_sequence = sequence,
              .m_state = UpstreamState::kServing,
              .m_endpoint = {.m_address = "10.1.2.3", .m_port = 8080},
              .m_availability_zone = {NumberedName("zone-", number % kZones)},
              .m_slots = 3,
              .m_in_progress = 1}};
}

// In one round each instance announces itself once, and one peer receives the
// delta.
void MeasureRegistry(MeasurementReport& report) {
  for (const std::size_t instances : {100U, 1000U, 10000U}) {
    const auto size = static_cast<double>(instances);
    const auto add = [&](const char* name, const char* unit, double value) {
      report.Add("registry", name, unit, "instances", size, value);
    };
    const double heap_before = AllocatedHeapBytes();
    membership::Registry registry({});
    std::uint64_t sequence = 1;
    const auto announce = [&](membership::Registry& target) {
      for (std::size_t i = 0; i < instances; ++i)
        target.Merge(MakeRegistryEntry(i, sequence), kNow);
      ++sequence;
    };
    announce(registry);
    add("state in memory", "bytes", AllocatedHeapBytes() - heap_before);
    add("merge of one round", "us", MinCpuMicros([&] { announce(registry); }));
    const membership::RegistrySnapshot snapshot = registry.Snapshot();
    const Deployment deployment = MakeDeployment(0, kHosts);
    steering::CounterTable counters;
    add("view: build", "us", MinCpuMicros([&] {
          const steering::ViewInputs inputs{.m_registry = snapshot,
                                            .m_deployment = deployment,
                                            .m_drains = {},
                                            .m_zone = {"zone-1"},
                                            .m_grants = std::nullopt};
          g_sink = steering::BuildView(inputs, counters).m_services.size();
        }));
    const auto encode_pages = [&] {
      std::vector<std::string> pages;
      std::uint64_t since = 0;
      for (bool is_complete = false; !is_complete;) {
        const membership::DeltaPage page =
            registry.DeltaSince(since, {"entry-1"}, 1, kNow);
        pages.push_back(Encode(page.m_delta));
        since = page.m_end_version;
        is_complete = page.m_is_complete;
      }
      return pages;
    };
    const std::vector<std::string> pages = encode_pages();
    double bytes = 0;
    for (const std::string& page : pages)
      bytes += static_cast<double>(page.size());
    add("delta of one round", "bytes", bytes);
    add("delta: make and encode", "us",
        MinCpuMicros([&] { g_sink = encode_pages().size(); }));
    add("delta: decode", "us", MinCpuMicros([&] {
          for (const std::string& page : pages)
            g_sink = DecodeRegistryDelta(page).value().m_entries.size();
        }));
  }
}

// ---- Claims ----------------------------------------------------------------

constexpr std::size_t kStoredAnswerBytes = 1024;  // per finished claim

struct ClaimDriver {
  control::StateMachine m_state;
  std::uint64_t m_index = 0;

  template <class Message>
  void Apply(const Message& message) {
    const UnixMillis now{static_cast<UnixMillis::rep>(kStartMs)};
    (void)m_state.Apply(++m_index, control::MakeCommand(message, now)).value();
  }

  void ClaimAndFinish(std::size_t number) {
    const std::string key =
        std::to_string(kStartMs) + "-key-" + std::to_string(100000000 + number);
    Apply(ClaimRequest{.m_host = {"entry-0"},
                       .m_incarnation = 1,
                       .m_service = {"pumplog"},
                       .m_key = key,
                       .m_attempt = number + 1,
                       .m_digest = std::string(32, 'd')});
    Apply(ClaimFinish{
        .m_host = {"entry-0"},
        .m_incarnation = 1,
        .m_service = {"pumplog"},
        .m_key = key,
        .m_attempt = number + 1,
        .m_verdict = Verdict::kRan,
        .m_answer = StoredAnswer{
            .m_status = 200, .m_body = std::string(kStoredAnswerBytes, 'a')}});
  }
};

void MeasureClaims(MeasurementReport& report) {
  Deployment document = MakeDeployment(100, 1);
  document.m_claims.m_max_claims = 1'000'000;
  for (const std::size_t claims : {1000U, 8000U, 64000U}) {
    const auto size = static_cast<double>(claims);
    const auto add = [&](const char* name, const char* unit, double value) {
      report.Add("claims", name, unit, "claims held", size, value);
    };
    ClaimDriver driver;
    const auto proposal =
        control::PrepareApply(driver.m_state, document, "bench");
    if (proposal.m_answer) {
      std::cerr << "capacity_bench: document refused\n";
      std::exit(1);
    }
    driver.Apply(proposal.m_command);
    const double heap_before = AllocatedHeapBytes();
    for (std::size_t i = 0; i < claims; ++i)
      driver.ClaimAndFinish(i);
    if (driver.m_state.Claims().All().size() != claims) {
      std::cerr << "capacity_bench: some claims were refused\n";
      std::exit(1);
    }
    add("state in memory", "bytes", AllocatedHeapBytes() - heap_before);
    control::SnapshotWriter writer(driver.m_state);
    double bytes = 0;
    while (const auto piece = writer.NextPiece())
      bytes += static_cast<double>(piece->size());
    add("snapshot", "bytes", bytes);
    std::size_t next_claim = claims;
    add("claim and finish: apply", "us",
        MinCpuMicros([&] { driver.ClaimAndFinish(next_claim++); }));
  }
}

// ---- Log and frames --------------------------------------------------------

void MeasureLog(MeasurementReport& report) {
  for (const std::size_t bytes : {200U, 2000U, 20000U}) {
    storage::FakeDisk disk;
    auto store = storage::LogStore<storage::FakeDiskRef>::Open(
        storage::FakeDiskRef{&disk}, {}, 77);
    std::uint64_t index = 0;
    LogEntry entry{.m_term = 1,
                   .m_kind = EntryKind::kCommand,
                   .m_data = std::string(bytes, 'e')};
    report.Add(
        "log", "append, sync aside", "us", "bytes of an entry",
        static_cast<double>(bytes), MinCpuMicros([&] {
          entry.m_index = ++index;
          g_sink = store.value().Append(std::nullopt, {&entry, 1}) ? index : 0;
        }));
  }
}

void MeasureFrames(MeasurementReport& report) {
  const std::string key(32, 'k');
  for (const std::size_t bytes : {100U, 1000U, 10000U}) {
    wire::FrameSealer sealer(key, 1);
    wire::FrameOpener opener(key, 1);
    const std::string payload(bytes, 'p');
    report.Add(
        "frames", "seal and open, sockets aside", "us", "bytes of a payload",
        static_cast<double>(bytes), MinCpuMicros([&] {
          const std::string head = sealer.Head(
              static_cast<std::uint16_t>(FrameType::kFeedChange), 1, payload);
          (void)opener.Head(head).value();
          g_sink = opener.Payload(payload) ? 1 : 0;
        }));
  }
}

// ---- Output ----------------------------------------------------------------

void Print(const std::vector<Series>& all_series) {
  std::printf("%-11s %-36s %-6s %-18s %13s %13s %9s  %s\n", "group", "measure",
              "unit", "per", "slope", "intercept", "residual",
              "size: value ...");
  for (const Series& series : all_series) {
    const LinearFit fit = FitLine(series.m_points);
    std::printf("%-11s %-36s %-6s %-18s %13.5g %13.5g %9.3f ",
                series.m_group.c_str(), series.m_measure.c_str(),
                series.m_unit.c_str(), series.m_size_unit.c_str(), fit.m_slope,
                fit.m_intercept, fit.m_residual);
    for (const DataPoint& point : series.m_points)
      std::printf(" %.0f: %.5g", point.m_size, point.m_value);
    std::printf("\n");
  }
}

boost::json::array ToJson(const std::vector<Series>& all_series) {
  boost::json::array lines;
  for (const Series& series : all_series) {
    const LinearFit fit = FitLine(series.m_points);
    boost::json::array points;
    for (const DataPoint& point : series.m_points)
      points.push_back(boost::json::array{point.m_size, point.m_value});
    lines.push_back(boost::json::object{{"group", series.m_group},
                                        {"measure", series.m_measure},
                                        {"unit", series.m_unit},
                                        {"per", series.m_size_unit},
                                        {"slope", fit.m_slope},
                                        {"intercept", fit.m_intercept},
                                        {"residual", fit.m_residual},
                                        {"points", std::move(points)}});
  }
  return lines;
}

int Main(int argc, char** argv) {
  MeasurementReport report;
  MeasureLookup(report);
  MeasureFeed(report);
  MeasureAllotments(report);
  MeasureRegistry(report);
  MeasureClaims(report);
  MeasureLog(report);
  MeasureFrames(report);
  Print(report.AllSeries());
  if (argc > 1) {
    std::ofstream file(argv[1]);
    file << ToJson(report.AllSeries()) << "\n";
    if (!file.flush()) {
      std::cerr << argv[1] << ": write failed\n";
      return 1;
    }
  }
  return 0;
}

}  // namespace
}  // namespace jujube::bench

int main(int argc, char** argv) {
  return jujube::bench::Main(argc, argv);
}
