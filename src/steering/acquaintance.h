// Acquaintance: how likely an instance has an object cached, as far as this
// host can tell.

#pragma once

#include <cstddef>
#include <cstdint>

namespace jujube::steering {

enum class Acquaintance : std::uint8_t {
  kRemembered,  // this host got a response about the object from it lately
  kPreferred,   // first in the order of the object, which all hosts share
  kSecond,      // second or third in that order
  kStranger,    // any other, or one that has just started
};

inline constexpr std::size_t kAcquaintanceCount =
    static_cast<std::size_t>(Acquaintance::kStranger) + 1;

}  // namespace jujube::steering
