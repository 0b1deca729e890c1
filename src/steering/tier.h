// Tier: distance of an instance from this entry host.

#pragma once

#include <cstdint>

namespace jujube::steering {

// kZone: same availability zone. kRegion: same region, another zone. kRemote:
// another region.
enum class Tier : std::uint8_t { kZone, kRegion, kRemote };

}  // namespace jujube::steering
