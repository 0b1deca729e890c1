#include "steering/load_estimate.h"

#include <algorithm>

namespace jujube::steering {
namespace {

constexpr std::int64_t kFull = 1000;  // permille

// Two announcement intervals: one lost announcement does not age a report.
constexpr std::chrono::milliseconds kFreshReport{1000};

// A report older than kFreshReport plus this says nothing any more.
constexpr std::chrono::milliseconds kReportDecay{4000};

// Refusals fade over ten announcement intervals. An instance that sheds is then
// tried again even if its reports are wrong.
constexpr std::chrono::milliseconds kShedFade{5000};

// Weight of the others' use in permille. Hosts that read the same report of an
// idle instance all go there at once: in bench/steering_bench, 400 refused more
// requests with fresh reports than with frozen ones.
constexpr std::int64_t kReportWeight = 100;

// Part of `span` that has passed, in permille.
std::int64_t PartOf(std::chrono::nanoseconds age,
                    std::chrono::nanoseconds span) {
  return std::clamp<std::int64_t>(age.count() / (span.count() / kFull), 0,
                                  kFull);
}

std::int64_t ReportedUse(const LoadFacts& facts, std::int64_t slots) {
  if (!facts.m_reported)
    return kFull;
  const std::int64_t reported =
      std::min<std::int64_t>(kFull, *facts.m_reported * kFull / slots);
  const std::int64_t decay =
      PartOf(facts.m_report_age - kFreshReport, kReportDecay);
  return reported + (kFull - reported) * decay / kFull;
}

}  // namespace

std::uint32_t EstimateUse(const LoadFacts& facts) {
  const std::int64_t slots = std::max<std::int64_t>(facts.m_slots, 1);
  const std::int64_t own =
      std::min<std::int64_t>(kFull, facts.m_own_in_progress * kFull / slots);
  const std::int64_t others =
      std::max<std::int64_t>(0, ReportedUse(facts, slots) - own);
  const std::int64_t shed = facts.m_shed_permille *
                            (kFull - PartOf(facts.m_outcome_age, kShedFade)) /
                            kFull;
  const std::int64_t use = std::max(own + others * kReportWeight / kFull, shed);
  return static_cast<std::uint32_t>(std::min(use, kFull));
}

}  // namespace jujube::steering
