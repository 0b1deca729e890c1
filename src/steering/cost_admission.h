// DecideByCost: rejects a request that cannot be complete before its deadline
// by its expected cost.
//
// A response that arrives late is worth more to a caller than a refusal, so a
// request is rejected only if even the expected time exceeds the time left. The
// estimate may be wrong, so a bounded part is tried all the same: a route is
// never locked out, and the estimate is corrected by what these requests take.

#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>

namespace jujube::steering {

// One of so many requests is tried whatever its expected time.
inline constexpr std::uint32_t kTriedRequestDivisor = 16;

struct CostAdmissionInputs {
  std::chrono::microseconds m_expected{0};              // until the response
  std::optional<std::chrono::nanoseconds> m_remaining;  // empty: no deadline
  std::uint32_t m_draw = 0;  // uniform below kTriedRequestDivisor

  friend auto operator<=>(const CostAdmissionInputs&,
                          const CostAdmissionInputs&) = default;
};

enum class CostAnswer : std::uint8_t {
  kAdmitted,
  kTried,         // too late by the estimate, to be tried all the same
  kExpectedLate,  // rejected, not run
};

constexpr CostAnswer DecideByCost(const CostAdmissionInputs& inputs) {
  if (!inputs.m_remaining || inputs.m_expected <= *inputs.m_remaining)
    return CostAnswer::kAdmitted;
  return inputs.m_draw == 0 ? CostAnswer::kTried : CostAnswer::kExpectedLate;
}

}  // namespace jujube::steering
