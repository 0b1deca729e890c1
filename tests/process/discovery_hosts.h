// Hosts of the tests with jujube-platform processes: their numbers, addresses
// and ports.

#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace jujube::process {

inline constexpr std::uint16_t kPeerPort = 7620;
inline constexpr std::uint16_t kControlPort = 7649;
inline constexpr std::uint16_t kDirectoryPort = 7644;
inline constexpr std::uint16_t kRequestPort = 7641;
inline constexpr std::uint16_t kReadyPort = 7640;
inline constexpr std::size_t kControlHosts = 5;
inline constexpr std::size_t kEntryHost = kControlHosts;
inline constexpr std::size_t kUpstreamHost = kControlHosts + 1;
inline constexpr std::size_t kOtherEntryHost = kControlHosts + 2;
// Control hosts that replace others.
inline constexpr std::size_t kSuccessor = kControlHosts + 3;
inline constexpr std::size_t kOtherSuccessor = kControlHosts + 4;
// No process listens there.
inline constexpr std::size_t kAbsentHost = kControlHosts + 5;

// Every host has its own address and the same ports, as on the platform.
std::string AddressOf(std::size_t host);

}  // namespace jujube::process
