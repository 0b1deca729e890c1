#include "steering/candidate_collector.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <optional>

#include "core/hash.h"
#include "steering/load_estimate.h"

namespace jujube::steering {
namespace {

constexpr std::int64_t kFullPermille = 1000;

// The latency average of an instance without an outcome for this long is
// ignored, so that an instance which was slow once is tried again.
constexpr std::chrono::seconds kLatencyMaxAge{10};

constexpr std::int64_t kUnknownLatencyUs = -1;

// An instance that was ejected or drained may have restarted in the meantime.
// It counts as cold for this time. Its next announcement, which states whether
// it is cold, is due within half of it.
constexpr std::chrono::seconds kAssumedColdDuration{3};

// Progress of the slow start in permille, at least 1.
std::int64_t SlowStartProgress(const Upstream& upstream,
                               const Observation& observation,
                               std::chrono::nanoseconds slow_start,
                               MonoTime now) {
  // Also prevents a division by zero below.
  if (slow_start.count() < kFullPermille)
    return kFullPermille;
  const MonoTime started_at =
      std::max(upstream.m_member.m_serving_since, observation.m_ejected_until);
  return std::clamp<std::int64_t>(
      (now - started_at).count() / (slow_start.count() / kFullPermille), 1,
      kFullPermille);
}

std::int64_t RoundTripUs(const Upstream& upstream) {
  return std::chrono::microseconds(2 * upstream.m_delay).count();
}

// Latency without the network round trip; empty if there is no sample or no
// recent outcome.
std::optional<std::int64_t> ServiceTimeUs(const Upstream& upstream,
                                          const Observation& observation,
                                          MonoTime now) {
  if (!observation.m_latency ||
      now - observation.m_last_outcome_at > kLatencyMaxAge)
    return std::nullopt;
  const auto latency = std::chrono::duration_cast<std::chrono::microseconds>(
      *observation.m_latency);
  return std::max<std::int64_t>(0, latency.count() - RoundTripUs(upstream));
}

template <class T>
bool Contains(std::span<const T> list, const T& value) {
  return std::find(list.begin(), list.end(), value) != list.end();
}

// Recently started, or back from an ejection or a drain that may have hidden a
// restart.
bool IsCold(const Upstream& upstream,
            const Observation& observation,
            MonoTime now) {
  return now < upstream.m_member.m_cold_until ||
         (observation.m_ejection_count > 0 &&
          now - observation.m_ejected_until < kAssumedColdDuration) ||
         (observation.m_drain_ended_at != MonoTime{} &&
          now - observation.m_drain_ended_at < kAssumedColdDuration);
}

bool MayStartColdRequest(const Upstream& upstream, MonoTime now) {
  return upstream.m_cold_request_interval &&
         upstream.m_counters->MayStartColdRequest(
             now, *upstream.m_cold_request_interval);
}

bool IsAvailable(const Upstream& upstream,
                 const Observation& observation,
                 const SelectionContext& context) {
  return IsServing(upstream, context.m_now) &&
         IsUsable(observation, context.m_now) &&
         !Contains(context.m_tried,
                   upstream.m_member.m_announcement.m_instance) &&
         !Contains(context.m_closed, upstream.m_region) &&
         (context.m_allowed.empty() ||
          Contains(context.m_allowed, upstream.m_region));
}

// Maximum age of an instance's report of the requests of other hosts. A request
// takes about a second, so an older report is stale.
constexpr std::chrono::milliseconds kOthersReportMaxAge{700};

std::uint32_t OthersInProgress(const Observation& observation, MonoTime now) {
  return now - observation.m_others_reported_at < kOthersReportMaxAge
             ? observation.m_others_in_progress
             : 0;
}

// Weighted rendezvous hashing: an instance receives a share of the objects that
// is proportional to its weight.
double AffinityScore(const Upstream& upstream, std::uint64_t object) {
  if (object == 0)
    return 0;
  constexpr double kRange = 18446744073709551616.0;  // 2^64
  const double uniform =
      (static_cast<double>(MixHash(object, upstream.m_instance_hash)) + 1) /
      kRange;
  return upstream.m_object_weight /
         std::max(-std::log(uniform), std::numeric_limits<double>::min());
}

std::uint32_t UtilizationOf(const Upstream& upstream,
                            const Observation& observation,
                            MonoTime now) {
  const membership::Member& member = upstream.m_member;
  return EstimateUtilization(
      {.m_slots = member.m_announcement.m_slots,
       .m_own_in_progress = observation.m_in_progress,
       .m_reported_in_progress = member.m_reported_in_progress,
       .m_report_age = now - member.m_reported_at,
       .m_shed_permille = observation.m_shed_permille,
       .m_outcome_age = now - observation.m_last_outcome_at});
}

}  // namespace

void CollectCandidates(const ServiceUpstreams& service,
                       const SelectionContext& context,
                       std::vector<Candidate>& out) {
  out.clear();
  std::int64_t max_progress = 1;
  std::optional<std::int64_t> min_service_time_us;
  for (std::size_t i = 0; i < service.m_upstreams.size(); ++i) {
    const Upstream& upstream = service.m_upstreams[i];
    const Observation observation = upstream.m_counters->Observe();
    if (!IsAvailable(upstream, observation, context))
      continue;
    const bool is_cold =
        upstream.m_cold_request_interval != std::chrono::nanoseconds(0) &&
        IsCold(upstream, observation, context.m_now);
    if (is_cold && !MayStartColdRequest(upstream, context.m_now))
      continue;
    if (!upstream.m_counters->Limiter().MayStart(context.m_now))
      continue;
    const auto service_time_us =
        ServiceTimeUs(upstream, observation, context.m_now);
    const std::int64_t progress = SlowStartProgress(
        upstream, observation, service.m_service.m_slow_start, context.m_now);
    max_progress = std::max(max_progress, progress);
    out.push_back(
        {.m_index = i,
         .m_tier = upstream.m_tier,
         .m_in_progress = observation.m_in_progress,
         .m_limit = UsableSlots(upstream.m_grant, context.m_now),
         .m_slots = upstream.m_member.m_announcement.m_slots,
         .m_others_in_progress = OthersInProgress(observation, context.m_now),
         .m_affinity_score = AffinityScore(upstream, context.m_object),
         .m_is_cold = is_cold,
         .m_utilization_permille =
             UtilizationOf(upstream, observation, context.m_now),
         .m_ramp_permille = static_cast<std::uint32_t>(progress),
         .m_failure_permille = observation.m_failure_permille,
         .m_latency_us = service_time_us.value_or(kUnknownLatencyUs)});
    if (service_time_us)
      min_service_time_us = std::min(
          min_service_time_us.value_or(*service_time_us), *service_time_us);
  }
  // So far, m_ramp_permille is the progress of the instance alone and
  // m_latency_us its service time; the final values depend on the other
  // candidates.
  for (Candidate& candidate : out) {
    const std::int64_t ramp =
        candidate.m_ramp_permille * kFullPermille / max_progress;
    candidate.m_ramp_permille = static_cast<std::uint32_t>(ramp);
    // An instance without samples is assumed to be as fast as the best one, so
    // that it receives requests and gets samples.
    if (candidate.m_latency_us == kUnknownLatencyUs)
      candidate.m_latency_us = min_service_time_us.value_or(0);
    candidate.m_latency_us +=
        RoundTripUs(service.m_upstreams[candidate.m_index]);
    // Rounded up so that an instance with a slot gets at least one request to
    // warm up.
    candidate.m_limit = static_cast<std::uint32_t>(
        (candidate.m_limit * ramp + kFullPermille - 1) / kFullPermille);
  }
  // A policy that ranks instances for an object must see the full ones as well;
  // otherwise lower-ranked instances would move up in their place.
  std::erase_if(out, [](const Candidate& candidate) {
    return candidate.m_affinity_score == 0 &&
           candidate.m_in_progress >= candidate.m_limit;
  });
}

SlotTotals CountSlots(const ServiceUpstreams& service, MonoTime now) {
  SlotTotals totals;
  for (const Upstream& upstream : service.m_upstreams) {
    const Observation observation = upstream.m_counters->Observe();
    if (!IsServing(upstream, now) || !IsUsable(observation, now))
      continue;
    // An instance at its rate limit takes no request now, whatever its slots.
    if (upstream.m_counters->Limiter().MayStart(now))
      totals.m_usable += UsableSlots(upstream.m_grant, now);
    else
      totals.m_usable += observation.m_in_progress;
    totals.m_in_use += observation.m_in_progress;
  }
  return totals;
}

}  // namespace jujube::steering
