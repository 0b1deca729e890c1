// Parameters and results of SteeringModel, and the deployments that it knows.

#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "gen/deployment.h"

namespace jujube::bench {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

enum class FaultKind { kNone, kFalseReport, kFrozenReports, kZoneLost };

struct ModelService {
  const char* m_name = "";
  int m_instances = 0;
  int m_slots = 0;
};

// Requests for objects, whose work depends on the instance.
struct ModelWork {
  int m_objects = 0;         // 0: without objects; all else then has no effect
  milliseconds m_work{0};    // mean, at an instance that lacks the object
  double m_known_part = 1;   // of the work, at an instance that has the object
  std::size_t m_kept = 0;    // objects that an instance remembers
  double m_tail_share = 0;   // of the requests
  double m_tail_factor = 1;  // of their work
  double m_slow_share = 0;   // of the machines, for moments of kSlowMoment
  double m_slow_factor = 1;  // of the time of work there
  int m_queue_factor = 3;    // length of the queue of an instance, in slots
  milliseconds m_target{0};
  milliseconds m_deadline{0};
  double m_late_worth = 0.2;  // of a response after the target
  bool m_plans_regions = false;
  // Requests of the last region are multiplied within this time.
  milliseconds m_wave_start{0};
  milliseconds m_wave_end{0};
  double m_wave_factor = 1;
};

inline constexpr milliseconds kSlowMoment{600};

struct ModelDeployment {
  const char* m_name = "";
  std::vector<std::vector<const char*>> m_regions;  // zones by region
  std::vector<int> m_instances_by_zone = {};  // empty: the same in each zone
  milliseconds m_region_delay{0};
  ModelService m_service;
  Weights m_weights;
};

// Small instances, weights favor headroom (section 3 of the design page).
inline ModelDeployment CooperativeDeployment() {
  return {.m_name = "cooperative",
          .m_regions = {{"luz-caloocan", "luz-batangas"},
                        {"vis-mandaue", "vis-iloilo"},
                        {"min-davao", "min-cdo"}},
          .m_region_delay = milliseconds(12),
          .m_service = {"tankview", 16, 3},
          .m_weights = {.m_headroom = 3, .m_latency = 1}};
}

// Larger instances, weights favor latency.
inline ModelDeployment LabDeployment() {
  return {.m_name = "lab",
          .m_regions = {{"cerro-a", "buceo-b"},
                        {"paysandu-a", "salto-b"},
                        {"rivera-a", "tacuarembo-b"}},
          .m_region_delay = milliseconds(35),
          .m_service = {"portal-cli", 18, 9},
          .m_weights = {.m_headroom = 1, .m_latency = 3}};
}

// A ninth of the larger new deployment: uneven regions, objects, a heavy tail
// and machines that are shared with others.
inline ModelDeployment UnevenDeployment() {
  return {.m_name = "uneven",
          .m_regions = {{"low-a", "low-b"},
                        {"isles-a", "isles-b"},
                        {"gr-a", "gr-b"}},
          .m_instances_by_zone = {12, 12, 14, 14, 3, 3},
          .m_region_delay = milliseconds(12),
          .m_service = {"log", 58, 6}};
}

inline ModelWork UnevenWork() {
  return {.m_objects = 282,
          .m_work = milliseconds(950),
          .m_known_part = 0.3,
          .m_kept = 20,
          .m_tail_share = 0.03,
          .m_tail_factor = 7,
          .m_slow_share = 0.15,
          .m_slow_factor = 2.5,
          .m_target = milliseconds(800),
          .m_deadline = milliseconds(3000)};
}

struct ModelParameters {
  ModelDeployment m_deployment;
  ModelWork m_work;
  int m_entry_hosts = 7;
  FaultKind m_fault = FaultKind::kNone;
  double m_offered_load = 0.7;  // requests over slots, before any fault
  std::uint64_t m_seed = 1;
};

inline constexpr milliseconds kServiceTime{20};
inline constexpr milliseconds kMeasurementStart{10000};
inline constexpr milliseconds kEndTime{70000};
inline constexpr milliseconds kReportInterval{500};
inline constexpr milliseconds kReportDelay{50};  // relay between entry hosts

struct ModelResult {
  double m_p50_ms = 0;           // ms of waiting: queue and travel, not service
  double m_p99_ms = 0;           // ms
  double m_p999_ms = 0;          // ms
  double m_max_utilization = 0;  // requests at an instance over its slots,
                                 // largest one-second average
  double m_refused = 0;          // share of the requests
  double m_in_time = 0;          // share of the requests, with ModelWork
  double m_worth = 0;            // mean of all requests, with ModelWork
  std::uint64_t m_requests = 0;
};

}  // namespace jujube::bench
