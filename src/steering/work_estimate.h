// WorkEstimator: what requests to one service cost, learned from the responses
// to this host.
//
//   const auto work = estimator.ExpectedWork(route, acquaintance, now);
//   ...
//   estimator.Record({...}, now);    // at the end of the request
//   estimator.RecordLoad(load);      // with each response that states a load
//
// Work is the time that the instance needs at its usual speed, without waiting
// and network. It is a mean of samples that are cut at kMaxTailFactor times the
// median: a few requests take many times the work at any instance, which says
// nothing about which one to choose.
//
// Bounded memory, lock-free; all functions are thread-safe. Routes beyond the
// bound share their estimates.

#pragma once

#include <array>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "core/clock.h"
#include "steering/acquaintance.h"
#include "steering/atomic_average.h"
#include "steering/placement_memory.h"
#include "steering/reported_load.h"
#include "steering/work_sample.h"

namespace jujube::steering {

class WorkEstimator {
 public:
  using Microseconds = std::chrono::microseconds;

  // Work of a request of a service of which nothing is known yet.
  static constexpr Microseconds kDefaultWork = std::chrono::seconds(1);

  static constexpr std::int64_t kMaxTailFactor = 4;

  // `route` is a hash of the route. Grows from kRemembered to kStranger.
  Microseconds ExpectedWork(std::uint64_t route,
                            Acquaintance acquaintance,
                            MonoTime now) const;

  void Record(const WorkSample& sample, MonoTime now);

  // Adds a load that an instance with `slots` slots stated to the means of the
  // service. `own_in_progress` are the requests of this host there.
  void RecordLoad(const ReportedLoad& load,
                  std::uint32_t own_in_progress,
                  std::uint32_t slots);

  // Mean work of all requests, long ones included.
  Microseconds MeanWork() const;
  // Mean of the requests that wait at an instance, in permille of its slots.
  std::uint32_t MeanQueuePermille() const;
  // Mean of the time that work takes on the machines; 1000: as usual.
  std::uint32_t MeanWorkTimePermille() const;

  PlacementMemory& Placements() { return m_placements; }
  const PlacementMemory& Placements() const { return m_placements; }

 private:
  static constexpr std::size_t kRouteCount = 32;

  struct ClassEstimate {
    AtomicAverage m_work_us;
    std::atomic<std::uint32_t> m_sample_count = 0;
    std::atomic<MonoTime> m_last_sample_at{MonoTime{}};
  };
  struct RouteEstimate {
    std::array<ClassEstimate, kAcquaintanceCount> m_classes;
    // Median and mean of the samples, as if all were of strangers.
    std::atomic<std::int64_t> m_median_us = 0;  // 0: no sample yet
    BasicAtomicAverage<16> m_work_us;
  };

  // Estimate from the samples of the class, if there are enough recent ones.
  static std::optional<std::int64_t> ClassWorkUs(const ClassEstimate& estimate,
                                                 MonoTime now);
  std::int64_t StrangerWorkUs(const RouteEstimate& route) const;

  std::array<RouteEstimate, kRouteCount> m_routes;
  BasicAtomicAverage<64> m_stranger_work_us;  // of all routes
  BasicAtomicAverage<64> m_work_us;           // long ones included
  BasicAtomicAverage<64> m_queue_permille;
  BasicAtomicAverage<64> m_work_time_permille;
  PlacementMemory m_placements;
};

}  // namespace jujube::steering
