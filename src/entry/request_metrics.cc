#include "entry/request_metrics.h"

#include "observe/metrics.h"

namespace jujube::entry {

std::string_view ToString(RefusalCause cause) {
  switch (cause) {
    case RefusalCause::kNoService:
      return "no_service";
    case RefusalCause::kBadKey:
      return "bad_key";
    case RefusalCause::kBadBody:
      return "body";
    case RefusalCause::kNoMemory:
      return "no_memory";
    case RefusalCause::kClaimNotGranted:
      return "claim";
    case RefusalCause::kNoSlot:
      return "no_slot";
    case RefusalCause::kNoRoom:
      return "no_room";
  }
  return "unknown";
}

RequestMetrics::RequestMetrics()
    : m_quota_refused(observe::CounterOf(Metric::kQuotaRefused)) {
  for (std::size_t i = 1; i < kAdmissionAnswerCount; ++i) {
    m_admission_refusals[i] = &observe::CounterOf(
        Metric::kRefused,
        steering::ToString(static_cast<steering::AdmissionAnswer>(i)));
  }
  for (std::size_t i = 0; i < kRefusalCauseCount; ++i) {
    m_refusals_by_cause[i] = &observe::CounterOf(
        Metric::kRefused, ToString(static_cast<RefusalCause>(i)));
  }
  for (std::size_t i = 0; i < kAccessAnswerCount; ++i) {
    const auto answer = static_cast<tenants::AccessAnswer>(i);
    if (tenants::IsRefused(answer)) {
      m_access_refusals[i] =
          &observe::CounterOf(Metric::kRefused, tenants::ToString(answer));
    }
  }
  for (std::size_t i = 1; i < kRetryAnswerCount; ++i) {
    m_denied_retries[i] = &observe::CounterOf(
        Metric::kRetriesDenied,
        steering::ToString(static_cast<steering::RetryAnswer>(i)));
  }
}

ServiceMetrics& RequestMetrics::ForService(const ServiceId& service) {
  const auto found = m_services.find(service);
  if (found != m_services.end())
    return found->second;
  return m_services
      .emplace(
          service,
          ServiceMetrics{
              observe::HistogramOf(Metric::kRequestSeconds, service.m_value),
              observe::CounterOf(Metric::kRetries, service.m_value)})
      .first->second;
}

void RequestMetrics::CountRefusal(steering::AdmissionAnswer answer) {
  if (observe::Counter* counter =
          m_admission_refusals[static_cast<std::size_t>(answer)])
    counter->Add();
}

void RequestMetrics::CountRefusal(RefusalCause cause) {
  m_refusals_by_cause[static_cast<std::size_t>(cause)]->Add();
}

void RequestMetrics::CountRefusal(tenants::AccessAnswer answer) {
  if (observe::Counter* counter =
          m_access_refusals[static_cast<std::size_t>(answer)])
    counter->Add();
}

void RequestMetrics::CountDeniedRetry(steering::RetryAnswer answer) {
  if (observe::Counter* counter =
          m_denied_retries[static_cast<std::size_t>(answer)])
    counter->Add();
}

}  // namespace jujube::entry
