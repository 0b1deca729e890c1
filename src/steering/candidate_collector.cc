#include "steering/candidate_collector.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <optional>

#include "core/hash.h"
#include "steering/load_estimate.h"

namespace jujube::steering {
namespace {

constexpr std::int64_t kWhole = 1000;  // permille

// A latency without a sample for this long is forgotten, so that an instance
// which was slow once is tried again.
constexpr std::chrono::seconds kLatencyMemory{10};

constexpr std::int64_t kUnknownLatency = -1;

// An instance that failed or was drained may have restarted meanwhile. Its next
// announcement, which is due within half of this time, says whether it is cold.
constexpr std::chrono::seconds kColdUntilAnnounced{3};

// Progress of the slow start, in permille.
std::int64_t WarmthOf(const Upstream& upstream,
                      const Observation& seen,
                      std::chrono::nanoseconds slow_start,
                      MonoTime now) {
  if (slow_start.count() < kWhole)
    return kWhole;
  const MonoTime since =
      std::max(upstream.m_member.m_serving_since, seen.m_ejected_until);
  return std::clamp<std::int64_t>(
      (now - since).count() / (slow_start.count() / kWhole), 1, kWhole);
}

std::int64_t TravelUs(const Upstream& upstream) {
  return std::chrono::microseconds(2 * upstream.m_delay).count();
}

// Latency beyond the travel time, if it was seen lately.
std::optional<std::int64_t> ServiceTimeUs(const Upstream& upstream,
                                          const Observation& seen,
                                          MonoTime now) {
  if (!seen.m_latency || now - seen.m_last_outcome > kLatencyMemory)
    return std::nullopt;
  const auto latency =
      std::chrono::duration_cast<std::chrono::microseconds>(*seen.m_latency);
  return std::max<std::int64_t>(0, latency.count() - TravelUs(upstream));
}

template <class T>
bool Contains(std::span<const T> list, const T& value) {
  return std::find(list.begin(), list.end(), value) != list.end();
}

// Just started, or back after a failure or drain that may hide a restart.
bool IsCold(const Upstream& upstream, const Observation& seen, MonoTime now) {
  return now < upstream.m_member.m_cold_until ||
         (seen.m_ejection_count > 0 &&
          now - seen.m_ejected_until < kColdUntilAnnounced) ||
         (seen.m_drain_ended != MonoTime{} &&
          now - seen.m_drain_ended < kColdUntilAnnounced);
}

bool MayStartCold(const Upstream& upstream, MonoTime now) {
  return upstream.m_cold_spacing &&
         upstream.m_counters->MayStartCold(now, *upstream.m_cold_spacing);
}

bool IsAvailable(const Upstream& upstream,
                 const Observation& seen,
                 const SelectionContext& context) {
  return MayServe(upstream, context.m_now) &&
         context.m_now >= seen.m_ejected_until &&
         context.m_now >= seen.m_gone_until &&
         !Contains(context.m_tried,
                   upstream.m_member.m_announcement.m_instance) &&
         !Contains(context.m_closed, upstream.m_region) &&
         (context.m_allowed.empty() ||
          Contains(context.m_allowed, upstream.m_region));
}

// Requests of other hosts, by the last response of the instance. A request
// takes about a second, so an older report says nothing about the present.
constexpr std::chrono::milliseconds kOthersMemory{700};

std::uint32_t OthersOf(const Observation& seen, MonoTime now) {
  return now - seen.m_others_at < kOthersMemory ? seen.m_others : 0;
}

// Weighted rendezvous hashing: an instance gets a part of the objects that is
// proportional to its weight.
double AffinityOf(const Upstream& upstream, std::uint64_t object) {
  if (object == 0)
    return 0;
  constexpr double kRange = 18446744073709551616.0;  // 2^64
  const double part =
      (static_cast<double>(MixHash(object, upstream.m_hash)) + 1) / kRange;
  return upstream.m_object_weight /
         std::max(-std::log(part), std::numeric_limits<double>::min());
}

std::uint32_t UseOf(const Upstream& upstream,
                    const Observation& seen,
                    MonoTime now) {
  const membership::Member& member = upstream.m_member;
  return EstimateUse({.m_slots = member.m_announcement.m_slots,
                      .m_own_in_progress = seen.m_in_progress,
                      .m_reported = member.m_reported_in_progress,
                      .m_report_age = now - member.m_reported_at,
                      .m_shed_permille = seen.m_shed_permille,
                      .m_outcome_age = now - seen.m_last_outcome});
}

}  // namespace

void CollectCandidates(const ServiceUpstreams& service,
                       const SelectionContext& context,
                       std::vector<Candidate>& out) {
  out.clear();
  std::int64_t warmest = 1;
  std::optional<std::int64_t> typical;  // least service time that was seen
  for (std::size_t i = 0; i < service.m_upstreams.size(); ++i) {
    const Upstream& upstream = service.m_upstreams[i];
    const Observation seen = upstream.m_counters->Observe();
    if (!IsAvailable(upstream, seen, context))
      continue;
    const bool is_cold =
        upstream.m_cold_spacing != std::chrono::nanoseconds(0) &&
        IsCold(upstream, seen, context.m_now);
    if (is_cold && !MayStartCold(upstream, context.m_now))
      continue;
    const auto service_time = ServiceTimeUs(upstream, seen, context.m_now);
    const std::int64_t warmth =
        WarmthOf(upstream, seen, service.m_service.m_slow_start, context.m_now);
    warmest = std::max(warmest, warmth);
    out.push_back({.m_index = i,
                   .m_tier = upstream.m_tier,
                   .m_in_progress = seen.m_in_progress,
                   .m_limit = UsableSlots(upstream.m_grant, context.m_now),
                   .m_slots = upstream.m_member.m_announcement.m_slots,
                   .m_others = OthersOf(seen, context.m_now),
                   .m_affinity = AffinityOf(upstream, context.m_object),
                   .m_is_cold = is_cold,
                   .m_use_permille = UseOf(upstream, seen, context.m_now),
                   .m_ramp_permille = static_cast<std::uint32_t>(warmth),
                   .m_failure_permille = seen.m_failure_permille,
                   .m_latency_us = service_time.value_or(kUnknownLatency)});
    if (service_time)
      typical = std::min(typical.value_or(*service_time), *service_time);
  }
  for (Candidate& candidate : out) {
    const std::int64_t ramp = candidate.m_ramp_permille * kWhole / warmest;
    candidate.m_ramp_permille = static_cast<std::uint32_t>(ramp);
    // An instance without samples counts as like the best, so that it gets
    // some.
    if (candidate.m_latency_us == kUnknownLatency)
      candidate.m_latency_us = typical.value_or(0);
    candidate.m_latency_us += TravelUs(service.m_upstreams[candidate.m_index]);
    // Rounded up: an instance with a slot gets at least one request to warm up.
    candidate.m_limit = static_cast<std::uint32_t>(
        (candidate.m_limit * ramp + kWhole - 1) / kWhole);
  }
  // A policy that ranks instances for an object has to see the full ones too,
  // or it would take the next ones for the first.
  std::erase_if(out, [](const Candidate& candidate) {
    return candidate.m_affinity == 0 &&
           candidate.m_in_progress >= candidate.m_limit;
  });
}

SlotTotals CountSlots(const ServiceUpstreams& service, MonoTime now) {
  SlotTotals totals;
  for (const Upstream& upstream : service.m_upstreams) {
    const Observation seen = upstream.m_counters->Observe();
    if (!MayServe(upstream, now) || now < seen.m_ejected_until ||
        now < seen.m_gone_until)
      continue;
    totals.m_usable += UsableSlots(upstream.m_grant, now);
    totals.m_in_use += seen.m_in_progress;
  }
  return totals;
}

}  // namespace jujube::steering
