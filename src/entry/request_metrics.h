// RequestMetrics: per-request metrics of one worker thread.
//
// References to metrics are looked up once and cached, because a look-up takes
// a lock. Not thread-safe.

#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string_view>

#include "gen/types.h"
#include "observe/counter.h"
#include "observe/histogram.h"
#include "steering/admission.h"
#include "steering/retry_decision.h"
#include "tenants/access.h"

namespace jujube::entry {

// Causes of refusals before the first attempt, other than those of
// DecideAdmission.
enum class RefusalCause : std::uint8_t {
  kNoService,        // the deployment has no such service
  kBadKey,           // Idempotency-Key is missing or malformed
  kBadBody,          // too large or truncated
  kNoMemory,         // no memory for the body
  kClaimNotGranted,  // the claim was not granted
  kNoSlot,           // no instance had a free slot at selection
  kNoRoom,           // no room for its rank in time
};

// Label of the metric jujube_requests_refused_total.
std::string_view ToString(RefusalCause cause);

struct ServiceMetrics {
  observe::Histogram& m_duration_seconds;
  observe::Counter& m_retries;
};

class RequestMetrics {
 public:
  RequestMetrics();

  // Creates the metrics at the first call. Only for services of the deployment,
  // whose number is limited.
  ServiceMetrics& ForService(const ServiceId& service);
  void CountRefusal(steering::AdmissionAnswer answer);
  void CountRefusal(RefusalCause cause);
  void CountRefusal(tenants::AccessAnswer answer);
  void CountDeniedRetry(steering::RetryAnswer answer);

  observe::Counter& m_quota_refused;  // requests over the quota of their tenant

 private:
  static constexpr std::size_t kAdmissionAnswerCount =
      static_cast<std::size_t>(steering::AdmissionAnswer::kPriorityTooLow) + 1;
  static constexpr std::size_t kRefusalCauseCount =
      static_cast<std::size_t>(RefusalCause::kNoRoom) + 1;
  static constexpr std::size_t kAccessAnswerCount =
      static_cast<std::size_t>(tenants::AccessAnswer::kNoRegion) + 1;
  static constexpr std::size_t kRetryAnswerCount =
      static_cast<std::size_t>(steering::RetryAnswer::kBudgetSpent) + 1;

  std::array<observe::Counter*, kAdmissionAnswerCount>
      m_admission_refusals{};  // by AdmissionAnswer; null for kAdmitted
  std::array<observe::Counter*, kRefusalCauseCount> m_refusals_by_cause{};
  std::array<observe::Counter*, kAccessAnswerCount>
      m_access_refusals{};  // by AccessAnswer; null for accepted requests
  std::array<observe::Counter*, kRetryAnswerCount>
      m_denied_retries{};  // by RetryAnswer; null for kRetry
  std::map<ServiceId, ServiceMetrics> m_services;
};

}  // namespace jujube::entry
