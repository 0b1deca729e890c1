#include "steering/placement_memory.h"

#include <algorithm>

namespace jujube::steering {
namespace {

constexpr unsigned kTagShift = 32;

std::uint32_t TagOf(std::uint64_t placement) {
  return static_cast<std::uint32_t>(placement >> kTagShift);
}

// Milliseconds modulo 2^32; never 0, which marks an unused entry.
std::uint32_t TimeOf(MonoTime now) {
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(
      now.time_since_epoch());
  return std::max(static_cast<std::uint32_t>(ms.count()), 1U);
}

std::uint32_t TimeOfEntry(std::uint64_t entry) {
  return static_cast<std::uint32_t>(entry);
}

// Age modulo 2^32. A time that went back gives a huge age.
std::uint32_t AgeMs(std::uint64_t entry, std::uint32_t now_ms) {
  return now_ms - TimeOfEntry(entry);
}

}  // namespace

void PlacementMemory::Remember(std::uint64_t placement, MonoTime now) {
  const std::uint32_t now_ms = TimeOf(now);
  const std::uint32_t tag = TagOf(placement);
  const std::size_t first = placement % kEntryCount;
  const std::size_t second = first ^ 1U;
  std::size_t position = first;
  const std::uint64_t at_first =
      m_entries[first].load(std::memory_order_relaxed);
  const std::uint64_t at_second =
      m_entries[second].load(std::memory_order_relaxed);
  if (TagOf(at_first) != tag &&
      (TagOf(at_second) == tag ||
       AgeMs(at_second, now_ms) > AgeMs(at_first, now_ms)))
    position = second;
  m_entries[position].store(
      (static_cast<std::uint64_t>(tag) << kTagShift) | now_ms,
      std::memory_order_relaxed);
}

bool PlacementMemory::Contains(std::uint64_t placement, MonoTime now) const {
  constexpr auto kMaxAgeMs =
      static_cast<std::uint32_t>(std::chrono::milliseconds(kMaxAge).count());
  const std::uint32_t now_ms = TimeOf(now);
  const std::size_t first = placement % kEntryCount;
  for (const std::size_t position : {first, first ^ 1U}) {
    const std::uint64_t entry =
        m_entries[position].load(std::memory_order_relaxed);
    if (TimeOfEntry(entry) != 0 && TagOf(entry) == TagOf(placement) &&
        AgeMs(entry, now_ms) <= kMaxAgeMs)
      return true;
  }
  return false;
}

}  // namespace jujube::steering
