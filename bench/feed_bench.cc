// Cost of the feed: size and time of a change and of a snapshot, and the time
// of a change through a chain of relays in one process. The argument is the
// number of caller blocks.
//
//   build/feed_bench --benchmark_min_time=0.2

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <benchmark/benchmark.h>

#include "feed/change.h"
#include "feed/publisher.h"
#include "feed/subscriber.h"
#include "gen/feed_wire.h"

namespace jujube::feed {
namespace {

constexpr std::size_t kSites = 390;  // docs/design.md, section 3
// Blocks that are not at their default site in a state. They differ between
// consecutive states, so a change contains twice as many blocks.
constexpr std::size_t kMovedBlocks = 100;
constexpr std::size_t kEntryHosts = 1400;

Publisher::State MakeState(std::uint64_t index, std::size_t blocks) {
  FeedState state{.m_index = index};
  state.m_deployment.m_number = index;
  for (std::size_t i = 0; i < kSites; ++i) {
    state.m_deployment.m_sites.push_back(
        {.m_name = {"site-" + std::to_string(i)},
         .m_availability_zone = {"az-" + std::to_string(i % 51)}});
  }
  for (std::size_t i = 0; i < kEntryHosts; ++i) {
    state.m_deployment.m_entry_hosts.push_back(
        {.m_name = {"entry-" + std::to_string(i)},
         .m_availability_zone = {"az-" + std::to_string(i % 51)}});
  }
  for (std::size_t i = 0; i < blocks; ++i) {
    const bool is_moved = (i + index) % (blocks / kMovedBlocks) == 0;
    state.m_deployment.m_blocks.push_back(
        {.m_prefix = std::to_string(10 + i / 65536) + "." +
                     std::to_string(i / 256 % 256) + "." +
                     std::to_string(i % 256) + ".0/24",
         .m_site = {"site-" + std::to_string((i + is_moved) % kSites)}});
  }
  return std::make_shared<const FeedState>(Canonical(std::move(state)));
}

std::size_t BlockCount(const benchmark::State& bench) {
  return static_cast<std::size_t>(bench.range(0));
}

void BenchMakeAndEncodeChange(benchmark::State& bench) {
  const auto before = MakeState(1, BlockCount(bench));
  const auto after = MakeState(2, BlockCount(bench));
  std::size_t bytes = 0;
  for (auto _ : bench)
    bytes = Encode(MakeChange(*before, *after).value()).size();
  bench.counters["bytes"] = static_cast<double>(bytes);
}

void BenchDecodeAndApplyChange(benchmark::State& bench) {
  const auto before = MakeState(1, BlockCount(bench));
  const auto after = MakeState(2, BlockCount(bench));
  const std::string bytes = Encode(MakeChange(*before, *after).value());
  for (auto _ : bench) {
    Subscriber subscriber(before);
    const auto result = subscriber.OnChange(DecodeFeedChange(bytes).value());
    if (result != MessageResult::kApplied)
      bench.SkipWithError("change was not applied");
  }
  bench.counters["bytes"] = static_cast<double>(bytes.size());
}

void BenchEncodeSnapshot(benchmark::State& bench) {
  Publisher publisher;
  (void)publisher.Publish(MakeState(1, BlockCount(bench)));
  std::size_t bytes = 0;
  for (auto _ : bench) {
    bytes = 0;
    Cursor cursor;
    while (const auto message = publisher.NextMessage(&cursor))
      bytes += message->m_payload->size();
    publisher.ReleaseUnusedSnapshot();
  }
  bench.counters["bytes"] = static_cast<double>(bytes);
}

void BenchApplySnapshot(benchmark::State& bench) {
  Publisher publisher;
  (void)publisher.Publish(MakeState(1, BlockCount(bench)));
  std::vector<std::string> chunks;
  Cursor cursor;
  while (const auto message = publisher.NextMessage(&cursor))
    chunks.push_back(*message->m_payload);
  for (auto _ : bench) {
    Subscriber subscriber;
    for (const std::string& chunk : chunks)
      (void)subscriber.OnChunk(DecodeFeedSnapshotChunk(chunk).value());
    if (subscriber.Index() != 1)
      bench.SkipWithError("snapshot was not applied");
  }
  bench.counters["chunks"] = static_cast<double>(chunks.size());
}

// A change over three hops: from a voter through a region relay and a zone
// relay to an entry host.
void BenchChangeThroughRelays(benchmark::State& bench) {
  constexpr std::size_t kHops = 3;
  const auto before = MakeState(1, BlockCount(bench));
  const auto after = MakeState(2, BlockCount(bench));
  for (auto _ : bench) {
    bench.PauseTiming();
    std::vector<Publisher> publishers(kHops);
    std::vector<Subscriber> subscribers(kHops, Subscriber(before));
    for (Publisher& publisher : publishers)
      (void)publisher.Publish(before);
    bench.ResumeTiming();
    (void)publishers[0].Publish(after);
    for (std::size_t i = 0; i < kHops; ++i) {
      Cursor cursor{.m_index = 1};
      const auto message = publishers[i].NextMessage(&cursor);
      const auto change = DecodeFeedChange(*message->m_payload).value();
      (void)subscribers[i].OnChange(change);
      if (i + 1 < kHops)
        (void)publishers[i + 1].Publish(subscribers[i].Current(), change);
    }
    bench.PauseTiming();
    if (subscribers.back().Index() != 2)
      bench.SkipWithError("change did not arrive");
    publishers.clear();
    subscribers.clear();
    bench.ResumeTiming();
  }
}

#define JUJUBE_SIZES \
  Arg(2800)->Arg(28000)->Arg(280000)->Unit(benchmark::kMicrosecond)
BENCHMARK(BenchMakeAndEncodeChange)->JUJUBE_SIZES;
BENCHMARK(BenchDecodeAndApplyChange)->JUJUBE_SIZES;
BENCHMARK(BenchEncodeSnapshot)->JUJUBE_SIZES;
BENCHMARK(BenchApplySnapshot)->JUJUBE_SIZES;
BENCHMARK(BenchChangeThroughRelays)->JUJUBE_SIZES;
#undef JUJUBE_SIZES

}  // namespace
}  // namespace jujube::feed
