// SourceSlots: where the callers of one region are steered.

#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <vector>

#include "core/clock.h"
#include "gen/types.h"

namespace jujube::steering {

// The callers of a region are divided into this many slots by a hash of their
// block, so a slot is one permille of them.
inline constexpr std::size_t kCallerSlots = 1000;

// A number of slots that moved at one time.
struct ShiftStep {
  UnixMillis m_at{0};
  std::uint32_t m_permille = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): false alarm on a default
  friend auto operator<=>(const ShiftStep&, const ShiftStep&) = default;
};

struct SourceSlots {
  RegionId m_source;               // home of the callers
  std::vector<RegionId> m_target;  // kCallerSlots entries: region of each slot
  std::vector<ShiftStep> m_steps;  // of the last minute
  std::optional<UnixMillis> m_calm_since;  // home could take callers back

  // NOLINTNEXTLINE(modernize-use-nullptr): false alarm on a default
  friend auto operator<=>(const SourceSlots&, const SourceSlots&) = default;
};

// Permille of the callers that are steered to the region.
std::uint32_t ShareOf(const SourceSlots& source, const RegionId& region);

}  // namespace jujube::steering
