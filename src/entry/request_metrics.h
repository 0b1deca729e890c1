// RequestMetrics: what a worker thread counts for each request.
//
// References to metrics are looked up once and kept, since a look-up takes a
// lock. Only for services of the deployment, whose number is bounded. Belongs
// to one thread.

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

namespace jujube::entry {

// Refusals before an attempt that DecideAdmission does not make.
enum class RefusalCause : std::uint8_t {
  kNoService,  // the deployment has no such service
  kBadKey,     // Idempotency-Key missing or malformed
  kBody,       // too large, or cut
  kClaim,      // the claim was not granted
  kNoSlot,     // every instance was full when one was selected
};

// Label of jujube_requests_refused_total.
std::string_view ToString(RefusalCause cause);

struct ServiceMetrics {
  observe::Histogram& m_seconds;
  observe::Counter& m_retries;
};

class RequestMetrics {
 public:
  RequestMetrics();

  ServiceMetrics& Of(const ServiceId& service);
  void Refused(steering::AdmissionAnswer answer);
  void Refused(RefusalCause cause);
  void RetryDenied(steering::RetryAnswer answer);

 private:
  static constexpr std::size_t kAnswers =
      static_cast<std::size_t>(steering::AdmissionAnswer::kPriorityTooLow) + 1;
  static constexpr std::size_t kCauses =
      static_cast<std::size_t>(RefusalCause::kNoSlot) + 1;
  static constexpr std::size_t kRetries =
      static_cast<std::size_t>(steering::RetryAnswer::kBudgetSpent) + 1;

  std::array<observe::Counter*, kAnswers> m_answers{};  // null: not a refusal
  std::array<observe::Counter*, kCauses> m_causes{};
  std::array<observe::Counter*, kRetries> m_denied{};  // null: a retry
  std::map<ServiceId, ServiceMetrics> m_services;
};

}  // namespace jujube::entry
