// Tier: distance of an instance from an entry host.

#pragma once

#include <cstdint>

namespace jujube::steering {

enum class Tier : std::uint8_t { kZone, kRegion, kRemote };

}  // namespace jujube::steering
