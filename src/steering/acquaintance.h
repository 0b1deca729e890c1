// Acquaintance: how likely an instance has an object cached, as far as this
// host can tell.

#pragma once

#include <cstddef>
#include <cstdint>

namespace jujube::steering {

enum class Acquaintance : std::uint8_t {
  kRemembered,  // first, and it answered this host about the object lately
  kPreferred,   // first in the order of the object, which the hosts of a
                // region share, or another that answered about it lately
  kSecond,      // second or third in that order
  kStranger,    // any other
};

inline constexpr std::size_t kAcquaintanceCount =
    static_cast<std::size_t>(Acquaintance::kStranger) + 1;

}  // namespace jujube::steering
