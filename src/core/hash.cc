#include "core/hash.h"

#include <openssl/sha.h>
#include <xxhash.h>

namespace jujube {

std::uint64_t Hash64(std::string_view bytes, std::uint64_t seed) {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::string Sha256(std::string_view bytes) {
  std::string digest(SHA256_DIGEST_LENGTH, '\0');
  SHA256(reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(),
         reinterpret_cast<unsigned char*>(digest.data()));
  return digest;
}

std::string Hex(std::string_view bytes) {
  static constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  text.reserve(bytes.size() * 2);
  for (const char byte : bytes) {
    const auto value = static_cast<unsigned char>(byte);
    text += kDigits[value >> 4U];
    text += kDigits[value & 15U];
  }
  return text;
}

}  // namespace jujube
