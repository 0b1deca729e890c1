// Compares waiting by rank with refusing at once and with queues at the
// upstreams, by load pattern. Prints the tables of docs/design/overload.md.
//
//   build/overload_bench

#include <cstdio>
#include <string>

#include "overload/queue_at_upstream.h"
#include "overload/refuse_at_once.h"
#include "overload/wait_by_rank.h"
#include "overload_model.h"

namespace jujube::bench {
namespace {

struct Pattern {
  const char* m_name = "";
  OverloadParameters m_parameters;
};

// Three kinds that together use `part` of the slots.
std::vector<ModelKind> Kinds(double part) {
  const double slots = static_cast<double>(kAllSlots) * part;
  return {{"change", 9, slots * 0.3 / 0.5, milliseconds(500),
           milliseconds(1000), milliseconds(2500), 1},
          {"lookup", 8, slots * 0.5 / 0.6, milliseconds(600),
           milliseconds(1200), milliseconds(3000), 10},
          {"upload", 7, slots * 0.2 / 1.0, milliseconds(1000),
           milliseconds(3000), milliseconds(5000), 1}};
}

bool IsBetween(milliseconds now, int from_ms, int until_ms) {
  return now >= milliseconds(from_ms) && now < milliseconds(until_ms);
}

std::vector<Pattern> Patterns() {
  return {
      {"0.7 of the room", {.m_kinds = Kinds(0.7)}},
      {"1.5 of the room, 10 s",
       {.m_kinds = Kinds(0.75),
        .m_load =
            [](milliseconds now, std::size_t, std::uint32_t) {
              return IsBetween(now, 5000, 15000) ? 2.0 : 1.0;
            }}},
      {"burst of 2 s",
       {.m_kinds = Kinds(0.75),
        .m_load =
            [](milliseconds now, std::size_t, std::uint32_t) {
              return IsBetween(now, 5000, 7000) ? 2.0 : 1.0;
            }}},
      {"flood of one tenant",
       {.m_kinds = Kinds(0.75),
        .m_load =
            [](milliseconds now, std::size_t kind, std::uint32_t tenant) {
              return kind == 1 && tenant == 0 && IsBetween(now, 5000, 15000)
                         ? 10.0
                         : 1.0;
            }}},
      {"flood of the lowest rank",
       {.m_kinds = Kinds(0.75),
        .m_load =
            [](milliseconds now, std::size_t kind, std::uint32_t) {
              return kind == 2 && IsBetween(now, 5000, 15000) ? 6.0 : 1.0;
            }}},
      {"a third of the upstreams lost, 8 s",
       {.m_kinds = Kinds(0.75),
        .m_lost = kModelUpstreams / 3,
        .m_lost_at = milliseconds(5000),
        .m_back_at = milliseconds(13000)}},
      {"one rank, burst of 2 s",
       {.m_kinds = {{},
                    {"lookup", 8, kAllSlots * 0.75 / 0.6, milliseconds(600),
                     milliseconds(1200), milliseconds(3000), 10},
                    {}},
        .m_load =
            [](milliseconds now, std::size_t, std::uint32_t) {
              return IsBetween(now, 5000, 7000) ? 2.0 : 1.0;
            }}},
      {"one rank, 1.5 of the room",
       {.m_kinds = {{},
                    {"lookup", 8, kAllSlots * 1.5 / 0.6, milliseconds(600),
                     milliseconds(1200), milliseconds(3000), 10},
                    {}}}},
      {"one rank, target 5 x work, 1.2 of the room",
       {.m_kinds = {{},
                    {"lookup", 8, kAllSlots * 1.2 / 0.6, milliseconds(600),
                     milliseconds(3000), milliseconds(5000), 10},
                    {}}}},
      {"a fifth repeats at once, 1.3 of the room",
       {.m_kinds = Kinds(1.3), .m_abuse_share = 0.2}},
  };
}

template <overload::RoomPolicy P>
void Print(const Pattern& pattern, const char* policy) {
  constexpr std::uint64_t kSeeds = 3;
  ModelCount total;
  std::vector<ModelCount> kinds(3);
  ModelCount abusive;
  ModelCount orderly;
  ModelCount others;  // tenants that don't flood
  nanoseconds held{0};
  const auto add = [](ModelCount& sum, const ModelCount& count) {
    sum.m_asked += count.m_asked;
    sum.m_in_time += count.m_in_time;
    sum.m_late += count.m_late;
  };
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    OverloadParameters parameters = pattern.m_parameters;
    parameters.m_seed = seed;
    const ModelResult result = OverloadModel<P>(parameters).Run();
    for (std::size_t i = 0; i < kinds.size(); ++i) {
      add(kinds[i], result.m_by_kind[i]);
      add(total, result.m_by_kind[i]);
    }
    add(abusive, result.m_abusive);
    add(orderly, result.m_orderly);
    for (const auto& [key, count] : result.m_by_tenant) {
      if (key.first == 1 && key.second > 0)
        add(others, count);
    }
    held = std::max(held, result.m_max_held);
  }
  std::printf(
      "| %s | %s | %.3f | %.3f | %.3f | %.3f | %.3f | %.3f | %.3f | %.3f |\n",
      pattern.m_name, policy, total.InTime(), total.Served() - total.InTime(),
      1 - total.Served(), kinds[0].InTime(), kinds[1].InTime(),
      kinds[2].InTime(), orderly.InTime(), others.InTime());
}

// Cost of the decisions of a request that goes and of one that is refused, with
// 86 tenants and 4 routes, while the service is short of room.
void PrintCost() {
  constexpr int kRequests = 1000000;
  constexpr std::uint64_t kTenants = 86;
  constexpr std::uint32_t kRoom = 12;
  const std::vector<std::string> routes = {"a", "b", "c", "d"};
  overload::ServiceRoom<overload::WaitByRank> room;
  room.SetFairShare(kRoom);
  MonoTime now = MonoTime{} + std::chrono::hours(1);
  int started = 0;
  const auto begin = std::chrono::steady_clock::now();
  for (int i = 0; i < kRequests; ++i) {
    now += std::chrono::milliseconds(10);
    const std::size_t kind = static_cast<std::size_t>(i) % routes.size();
    const overload::RoomDecision decision =
        room.Ask({.m_id = static_cast<std::uint64_t>(i),
                  .m_priority = static_cast<std::uint8_t>(9 - kind),
                  .m_tenant = static_cast<std::uint64_t>(i) % kTenants,
                  .m_expected_response = room.ExpectedResponse(routes[kind]),
                  .m_target_at = now + std::chrono::milliseconds(1),
                  .m_deadline = now + std::chrono::milliseconds(1)},
                 now);
    started += decision.m_answer == overload::RoomAnswer::kGo ? 1 : 0;
    if (room.InProgress() < kRoom)
      continue;
    room.OnResponse(routes[kind], std::chrono::milliseconds(100),
                    std::chrono::milliseconds(100),
                    {.m_waiting = 20, .m_slots = 9}, now);
    room.Release(now);
  }
  const std::chrono::duration<double, std::nano> elapsed =
      std::chrono::steady_clock::now() - begin;
  std::printf("\ndecisions: %.0f ns a request, %.2f started\n",
              elapsed.count() / kRequests, 1.0 * started / kRequests);
}

}  // namespace
}  // namespace jujube::bench

int main() {
  using namespace jujube;  // NOLINT(google-build-using-namespace)
  std::printf(
      "| load | way | in time | late | not served | rank 9 in time | rank 8 | "
      "rank 7 | orderly callers | other tenants |\n"
      "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
  for (const bench::Pattern& pattern : bench::Patterns()) {
    bench::Print<overload::QueueAtUpstream>(pattern, "queue at upstream");
    bench::Print<overload::RefuseAtOnce>(pattern, "refuse at once");
    bench::Print<overload::WaitByRank>(pattern, "wait by rank");
  }
  bench::PrintCost();
  return 0;
}
