#include "entry/request_metrics.h"

#include "observe/metrics.h"

namespace jujube::entry {

std::string_view ToString(RefusalCause cause) {
  switch (cause) {
    case RefusalCause::kNoService:
      return "no_service";
    case RefusalCause::kBadKey:
      return "bad_key";
    case RefusalCause::kBody:
      return "body";
    case RefusalCause::kClaim:
      return "claim";
    case RefusalCause::kNoSlot:
      return "no_slot";
  }
  return "unknown";
}

RequestMetrics::RequestMetrics() {
  for (std::size_t i = 1; i < kAnswers; ++i) {
    m_answers[i] = &observe::CounterOf(
        Metric::kRefused,
        steering::ToString(static_cast<steering::AdmissionAnswer>(i)));
  }
  for (std::size_t i = 0; i < kCauses; ++i) {
    m_causes[i] = &observe::CounterOf(Metric::kRefused,
                                      ToString(static_cast<RefusalCause>(i)));
  }
  for (std::size_t i = 1; i < kRetries; ++i) {
    m_denied[i] = &observe::CounterOf(
        Metric::kRetriesDenied,
        steering::ToString(static_cast<steering::RetryAnswer>(i)));
  }
}

ServiceMetrics& RequestMetrics::Of(const ServiceId& service) {
  const auto known = m_services.find(service);
  if (known != m_services.end())
    return known->second;
  return m_services
      .emplace(
          service,
          ServiceMetrics{
              observe::HistogramOf(Metric::kRequestSeconds, service.m_value),
              observe::CounterOf(Metric::kRetries, service.m_value)})
      .first->second;
}

void RequestMetrics::Refused(steering::AdmissionAnswer answer) {
  if (observe::Counter* counter = m_answers[static_cast<std::size_t>(answer)])
    counter->Add();
}

void RequestMetrics::Refused(RefusalCause cause) {
  m_causes[static_cast<std::size_t>(cause)]->Add();
}

void RequestMetrics::RetryDenied(steering::RetryAnswer answer) {
  if (observe::Counter* counter = m_denied[static_cast<std::size_t>(answer)])
    counter->Add();
}

}  // namespace jujube::entry
