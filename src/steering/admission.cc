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

AdmissionAnswer DecideAdmission(const AdmissionFacts& facts) {
  if (facts.m_is_host_draining)
    return AdmissionAnswer::kHostDraining;
  if (facts.m_remaining <= std::chrono::nanoseconds(0))
    return AdmissionAnswer::kDeadlinePassed;
  if (facts.m_slots.m_usable == 0)
    return AdmissionAnswer::kNoUpstream;
  if (facts.m_slots.m_in_use >= facts.m_slots.m_usable)
    return AdmissionAnswer::kSlotsTaken;
  if (facts.m_host_in_progress >= UsableCap(facts.m_host_cap, facts.m_priority))
    return AdmissionAnswer::kPriorityTooLow;
  return AdmissionAnswer::kAdmitted;
}

std::chrono::milliseconds SpreadRetryAfter(std::chrono::nanoseconds left,
                                           std::uint64_t draw) {
  // Callers follow up to a third of the time that they have left.
  constexpr std::int64_t kPart = 3;
  // Slots come free within about a second.
  constexpr std::chrono::milliseconds kLongest{1000};
  constexpr std::int64_t kLeast = 50;  // ms
  const auto most = std::min(
      kLongest,
      std::chrono::duration_cast<std::chrono::milliseconds>(left / kPart));
  const std::int64_t half = most.count() / 2;
  const auto spread =
      static_cast<std::int64_t>(draw % static_cast<std::uint64_t>(half + 1));
  return std::chrono::milliseconds(std::max(kLeast, half + spread));
}

std::chrono::seconds RetryAfter(AdmissionAnswer refusal) {
  // Leases and grants change once a second.
  const bool is_load = refusal == AdmissionAnswer::kSlotsTaken ||
                       refusal == AdmissionAnswer::kPriorityTooLow ||
                       refusal == AdmissionAnswer::kNoUpstream;
  return std::chrono::seconds(is_load ? 1 : 0);
}

}  // namespace jujube::steering
