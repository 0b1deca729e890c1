// Maximum length of the names of hosts, zones, services and instances.

#pragma once

#include <cstddef>

namespace jujube {

// A longer name cannot be sent in a binary message.
inline constexpr std::size_t kMaxNameBytes = 130;

}  // namespace jujube
