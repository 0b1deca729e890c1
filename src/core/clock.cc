#include "core/clock.h"

#include <ctime>

namespace jujube {

MonoClock::time_point MonoClock::now() noexcept {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return time_point(std::chrono::seconds(time.tv_sec) +
                    std::chrono::nanoseconds(time.tv_nsec));
}

UnixMillis SystemClock::WallNow() const noexcept {
  return std::chrono::duration_cast<UnixMillis>(
      std::chrono::system_clock::now().time_since_epoch());
}

}  // namespace jujube
