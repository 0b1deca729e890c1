#include "entry/request_cost.h"

#include <algorithm>
#include <chrono>
#include <optional>

#include "core/hash.h"
#include "observe/log.h"
#include "observe/metrics.h"

namespace jujube::entry {
namespace {

using std::chrono::microseconds;

constexpr std::uint16_t kMinServerError = 500;

bool IsComplete(const AttemptResult& result) {
  return !result.m_failure &&
         (!result.m_response || result.m_response->m_status < kMinServerError);
}

// The request reached the instance and was given up before its response.
bool IsGivenUp(const AttemptResult& result) {
  return result.m_failure &&
         (*result.m_failure == request::AttemptFailure::kTimeout ||
          *result.m_failure == request::AttemptFailure::kCallerDisconnected) &&
         result.m_attempt.m_state == request::AttemptState::kSent;
}

double SecondsOf(microseconds time) {
  return std::chrono::duration<double>(time).count();
}

}  // namespace

std::uint64_t RouteHash(const Route& route) {
  return Hash64(route.m_rule_name);
}

RequestCost::Metrics& RequestCost::ForService(const ServiceId& service) {
  const auto found = m_metrics.find(service);
  if (found != m_metrics.end())
    return found->second;
  return m_metrics
      .emplace(service,
               Metrics{observe::HistogramOf(Metric::kExpectedWorkSeconds,
                                            service.m_value),
                       observe::HistogramOf(Metric::kObservedWorkSeconds,
                                            service.m_value)})
      .first->second;
}

void RequestCost::Record(const Route& route,
                         const steering::Selection& selection,
                         const AttemptResult& result,
                         MonoTime started,
                         MonoTime ended,
                         steering::WorkEstimator& work) {
  if (!selection.m_forecast)
    return;
  const steering::WorkForecast& forecast = *selection.m_forecast;
  const steering::InstanceCounters& counters = *selection.m_slot.Counters();
  const steering::ReportedLoad load = counters.Load();
  const bool has_new_report = load.m_at >= started;
  if (has_new_report) {
    work.RecordLoad(load, counters.Observe().m_in_progress, forecast.m_slots);
  }
  const bool is_complete = IsComplete(result);
  if (!is_complete && !IsGivenUp(result))
    return;
  const auto elapsed =
      std::max(std::chrono::duration_cast<microseconds>(ended - started) -
                   2 * microseconds(selection.m_delay),
               microseconds(0));
  work.Record(
      {.m_route = RouteHash(route),
       .m_acquaintance = forecast.m_acquaintance,
       .m_elapsed = elapsed,
       .m_expected_wait = forecast.m_cost.m_wait,
       .m_work_time_permille = has_new_report ? load.m_work_time_permille
                                              : work.MeanWorkTimePermille(),
       .m_is_lower_bound = !is_complete},
      ended);
  if (is_complete && forecast.m_placement != 0)
    work.Placements().Remember(forecast.m_placement, ended);
  Metrics& metrics = ForService(route.m_service);
  metrics.m_expected_seconds.Observe(SecondsOf(forecast.m_work));
  metrics.m_observed_seconds.Observe(SecondsOf(elapsed));
  if (!observe::IsLogLevelEnabled(LogLevel::kDebug))
    return;
  observe::Log(
      LogEvent::kRequestCost,
      {{"request", route.m_request_id},
       {"route", route.m_rule_name},
       {"instance", selection.m_instance.m_value},
       {"acquaintance", static_cast<unsigned>(forecast.m_acquaintance)},
       {"expected_wait_us", forecast.m_cost.m_wait.count()},
       {"expected_work_us", forecast.m_cost.m_work.count()},
       {"observed_us", elapsed.count()},
       {"work_time_permille", load.m_work_time_permille},
       {"complete", is_complete}});
}

}  // namespace jujube::entry
