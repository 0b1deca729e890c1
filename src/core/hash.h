// Hash functions whose results are the same on every host and in every version.

#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace jujube {

// 64-bit XXH3 hash.
std::uint64_t Hash64(std::string_view bytes, std::uint64_t seed = 0);

// Combines two hashes, for rendezvous hashing.
constexpr std::uint64_t MixHash(std::uint64_t a, std::uint64_t b) {
  std::uint64_t x = a ^ (b + 0x9e3779b97f4a7c15ULL + (a << 6) + (a >> 2));
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

// SHA-256 digest (32 bytes), for input that an attacker may choose.
std::string Sha256(std::string_view bytes);

// Encodes bytes as lower-case hexadecimal digits.
std::string Hex(std::string_view bytes);

}  // namespace jujube
