// ReportedLoad: load of an instance as it stated it in a response.

#pragma once

#include <chrono>
#include <compare>
#include <cstdint>

#include "core/clock.h"

namespace jujube::steering {

inline constexpr std::uint32_t kUsualWorkTimePermille = 1000;

struct ReportedLoad {
  std::uint32_t m_others_in_progress = 0;  // without the requests of this host
  std::uint32_t m_waiting = 0;             // of all hosts, for a slot
  std::uint32_t m_slots = 0;               // 0: not stated
  // Time that work takes on its machine; at least kUsualWorkTimePermille.
  std::uint32_t m_work_time_permille = kUsualWorkTimePermille;
  MonoTime m_at;  // time of the response; epoch: none yet

  friend auto operator<=>(const ReportedLoad&, const ReportedLoad&) = default;
};

}  // namespace jujube::steering
