// SourceSlots: target regions of the callers of one region.

#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <vector>

#include "core/clock.h"
#include "gen/types.h"

namespace jujube::steering {

// The callers of a region are divided into this many slots by a hash of their
// address block, so one slot is one permille of the callers.
inline constexpr std::size_t kCallerSlots = 1000;

// Slots that were moved at one time.
struct ShiftStep {
  UnixMillis m_at{0};
  std::uint32_t m_permille = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): false positive
  friend auto operator<=>(const ShiftStep&, const ShiftStep&) = default;
};

struct SourceSlots {
  RegionId m_source;                       // home region of the callers
  std::vector<RegionId> m_target;          // region of each of the kCallerSlots
  std::vector<ShiftStep> m_steps;          // steps of the last minute
  std::optional<UnixMillis> m_calm_since;  // home has had headroom since

  // NOLINTNEXTLINE(modernize-use-nullptr): false positive
  friend auto operator<=>(const SourceSlots&, const SourceSlots&) = default;
};

// Permille of the callers that are directed to the region.
std::uint32_t ShareOf(const SourceSlots& source, const RegionId& region);

}  // namespace jujube::steering
