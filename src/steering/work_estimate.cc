#include "steering/work_estimate.h"

#include <algorithm>

namespace jujube::steering {
namespace {

using std::chrono::microseconds;

constexpr std::int64_t kPermille = 1000;

// Samples of a class from which its own mean is used.
constexpr std::uint32_t kMinSamples = 4;

// A class without a sample for so long is estimated from the others.
constexpr std::chrono::seconds kMaxEstimateAge{30};

// Part of the work of a stranger that an instance has to do, in permille, until
// the samples of a class tell. An instance that has the object cached takes
// less than half of the work.
constexpr std::array<std::int64_t, kAcquaintanceCount> kAssumedWorkPermille = {
    400, 500, 800, 1000};

// Step of the median, as a part of it. With 32, it follows a change to twice
// the value within 25 samples.
constexpr std::int64_t kMedianStepDivisor = 32;

// Longer samples are cut: an average holds values up to 2^50.
constexpr microseconds kMaxSample = std::chrono::minutes(10);

void MoveMedian(std::atomic<std::int64_t>& median_us, std::int64_t sample_us) {
  const std::int64_t old = median_us.load(std::memory_order_relaxed);
  const std::int64_t step = std::max<std::int64_t>(old / kMedianStepDivisor, 1);
  std::int64_t next = std::max<std::int64_t>(sample_us, 1);
  if (old > 0)
    next = sample_us > old ? old + step : std::max<std::int64_t>(old - step, 1);
  // A sample that another thread overwrites is lost, which does no harm.
  median_us.store(next, std::memory_order_relaxed);
}

}  // namespace

microseconds WorkOf(const WorkSample& sample) {
  constexpr std::int64_t kMinPartDivisor = 4;
  const microseconds elapsed =
      std::clamp(sample.m_elapsed, microseconds(0), kMaxSample);
  const microseconds work =
      std::max(elapsed - std::max(sample.m_expected_wait, microseconds(0)),
               elapsed / kMinPartDivisor);
  return work * kPermille /
         std::max(sample.m_work_time_permille, kUsualWorkTimePermille);
}

std::optional<std::int64_t> WorkEstimator::ClassWorkUs(
    const ClassEstimate& estimate,
    MonoTime now) {
  const bool is_usable =
      estimate.m_sample_count.load(std::memory_order_relaxed) >= kMinSamples &&
      now - estimate.m_last_sample_at.load(std::memory_order_relaxed) <=
          kMaxEstimateAge;
  return is_usable ? estimate.m_work_us.Value() : std::nullopt;
}

std::int64_t WorkEstimator::StrangerWorkUs(const RouteEstimate& route) const {
  return route.m_work_us.Value().value_or(
      m_stranger_work_us.Value().value_or(kDefaultWork.count()));
}

microseconds WorkEstimator::ExpectedWork(std::uint64_t route,
                                         Acquaintance acquaintance,
                                         MonoTime now) const {
  const RouteEstimate& estimate = m_routes[route % kRouteCount];
  const std::int64_t stranger_us = StrangerWorkUs(estimate);
  // The minimum over the less acquainted classes: few samples must not make a
  // stranger look better than an instance that knows the object.
  std::int64_t least =
      ClassWorkUs(estimate.m_classes.back(), now).value_or(stranger_us);
  for (std::size_t i = kAcquaintanceCount - 1;
       i-- > static_cast<std::size_t>(acquaintance);) {
    least = std::min(least, ClassWorkUs(estimate.m_classes[i], now)
                                .value_or(stranger_us *
                                          kAssumedWorkPermille[i] / kPermille));
  }
  return microseconds(std::max<std::int64_t>(least, 1));
}

void WorkEstimator::Record(const WorkSample& sample, MonoTime now) {
  const std::int64_t work_us = WorkOf(sample).count();
  const auto position = static_cast<std::size_t>(sample.m_acquaintance);
  RouteEstimate& route = m_routes[sample.m_route % kRouteCount];
  if (sample.m_is_lower_bound &&
      work_us <=
          ExpectedWork(sample.m_route, sample.m_acquaintance, now).count())
    return;
  const std::int64_t assumed_permille = kAssumedWorkPermille[position];
  const std::int64_t as_stranger_us = work_us * kPermille / assumed_permille;
  MoveMedian(route.m_median_us, as_stranger_us);
  const std::int64_t cut_us = std::min(
      as_stranger_us,
      kMaxTailFactor * route.m_median_us.load(std::memory_order_relaxed));
  route.m_work_us.Add(cut_us);
  m_stranger_work_us.Add(cut_us);
  m_work_us.Add(work_us);
  ClassEstimate& estimate = route.m_classes[position];
  estimate.m_work_us.Add(cut_us * assumed_permille / kPermille);
  estimate.m_sample_count.fetch_add(1, std::memory_order_relaxed);
  estimate.m_last_sample_at.store(now, std::memory_order_relaxed);
}

void WorkEstimator::RecordLoad(const ReportedLoad& load,
                               std::uint32_t own_in_progress,
                               std::uint32_t slots) {
  constexpr std::uint64_t kMaxQueuePermille = 10000;
  const std::uint64_t in_progress =
      std::uint64_t{load.m_others_in_progress} + own_in_progress;
  const std::uint64_t waiting = std::max<std::uint64_t>(
      load.m_waiting, in_progress > slots ? in_progress - slots : 0);
  m_queue_permille.Add(static_cast<std::int64_t>(
      std::min(waiting * kPermille / std::max(slots, 1U), kMaxQueuePermille)));
  m_work_time_permille.Add(load.m_work_time_permille);
}

microseconds WorkEstimator::MeanWork() const {
  return microseconds(m_work_us.Value().value_or(kDefaultWork.count()));
}

std::uint32_t WorkEstimator::MeanQueuePermille() const {
  return static_cast<std::uint32_t>(m_queue_permille.Value().value_or(0));
}

std::uint32_t WorkEstimator::MeanWorkTimePermille() const {
  return static_cast<std::uint32_t>(
      m_work_time_permille.Value().value_or(kUsualWorkTimePermille));
}

}  // namespace jujube::steering
