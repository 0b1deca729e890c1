#include "steering/admission.h"

#include "steering/priority_limiter.h"

namespace jujube::steering {

std::string_view ToString(AdmissionAnswer answer) {
  switch (answer) {
    case AdmissionAnswer::kAdmitted:
      return "admitted";
    case AdmissionAnswer::kHostDraining:
      return "host_draining";
    case AdmissionAnswer::kDeadlinePassed:
      return "deadline_passed";
    case AdmissionAnswer::kNoUpstream:
      return "no_upstream";
    case AdmissionAnswer::kSlotsTaken:
      return "slots_taken";
    case AdmissionAnswer::kPriorityTooLow:
      return "priority_too_low";
  }
  return "unknown";
}

AdmissionAnswer DecideAdmission(const AdmissionInputs& inputs) {
  if (inputs.m_is_host_draining || inputs.m_may_outlast_host)
    return AdmissionAnswer::kHostDraining;
  if (inputs.m_remaining <= std::chrono::nanoseconds(0))
    return AdmissionAnswer::kDeadlinePassed;
  if (inputs.m_slots.m_usable == 0)
    return AdmissionAnswer::kNoUpstream;
  if (inputs.m_slots.m_in_use >= inputs.m_slots.m_usable)
    return AdmissionAnswer::kSlotsTaken;
  if (inputs.m_host_in_progress >=
      CapForPriority(inputs.m_host_cap, inputs.m_priority))
    return AdmissionAnswer::kPriorityTooLow;
  return AdmissionAnswer::kAdmitted;
}

std::chrono::milliseconds SpreadRetryAfter(std::chrono::nanoseconds remaining,
                                           std::uint64_t draw) {
  // A caller follows a Retry-After of up to a third of its remaining time.
  constexpr std::int64_t kRemainingTimeDivisor = 3;
  // Slots become free within about a second.
  constexpr std::chrono::milliseconds kMaxDelay{1000};
  constexpr std::int64_t kMinDelayMs = 50;
  const auto max_delay =
      std::min(kMaxDelay, std::chrono::duration_cast<std::chrono::milliseconds>(
                              remaining / kRemainingTimeDivisor));
  const std::int64_t half_ms = max_delay.count() / 2;
  const auto jitter_ms =
      static_cast<std::int64_t>(draw % static_cast<std::uint64_t>(half_ms + 1));
  return std::chrono::milliseconds(std::max(kMinDelayMs, half_ms + jitter_ms));
}

std::chrono::seconds RetryAfter(AdmissionAnswer refusal) {
  // Leases and grants change once a second.
  const bool is_capacity_shortage =
      refusal == AdmissionAnswer::kSlotsTaken ||
      refusal == AdmissionAnswer::kPriorityTooLow ||
      refusal == AdmissionAnswer::kNoUpstream;
  return std::chrono::seconds(is_capacity_shortage ? 1 : 0);
}

}  // namespace jujube::steering
