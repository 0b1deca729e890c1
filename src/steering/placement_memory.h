// PlacementMemory: the instances that answered requests of this host about an
// object lately.
//
// Bounded: a placement is kept in one of two entries, and a new one replaces
// the older of the two. Lock-free; all functions are thread-safe. A forgotten
// or, with a chance of about 2^-32, mistaken placement makes one estimate
// worse.

#pragma once

#include <array>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>

#include "core/clock.h"

namespace jujube::steering {

class PlacementMemory {
 public:
  // An object that was not requested for so long has probably been evicted.
  static constexpr std::chrono::seconds kMaxAge{30};

  // `placement` combines the hashes of the object and of the incarnation of the
  // instance.
  void Remember(std::uint64_t placement, MonoTime now);
  bool Contains(std::uint64_t placement, MonoTime now) const;

 private:
  static constexpr std::size_t kEntryCount = 2048;  // 16 KB

  // Upper half: tag; lower half: milliseconds of the clock, 0 if unused.
  std::array<std::atomic<std::uint64_t>, kEntryCount> m_entries{};
};

}  // namespace jujube::steering
