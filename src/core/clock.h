// Clock concept and the system clock.
//
// Decision functions take the current time as a MonoTime argument; only the
// code that connects them to sockets and threads reads a clock.

#pragma once

#include <chrono>
#include <concepts>
#include <cstdint>

namespace jujube {

// Time since boot, including time in suspend (CLOCK_BOOTTIME), so that a lease
// also expires while the host is suspended.
struct MonoClock {
  using rep = std::int64_t;
  using period = std::nano;
  using duration = std::chrono::nanoseconds;
  using time_point = std::chrono::time_point<MonoClock>;
  static constexpr bool is_steady = true;

  static time_point now() noexcept;
};

using MonoTime = MonoClock::time_point;

// Wall time in milliseconds since the Unix epoch.
using UnixMillis = std::chrono::milliseconds;

template <class T>
concept Clock = requires(const T& clock) {
  { clock.Now() } -> std::same_as<MonoTime>;
  { clock.WallNow() } -> std::same_as<UnixMillis>;
};

struct SystemClock {
  MonoTime Now() const noexcept { return MonoClock::now(); }
  UnixMillis WallNow() const noexcept;
};

static_assert(Clock<SystemClock>);

}  // namespace jujube
