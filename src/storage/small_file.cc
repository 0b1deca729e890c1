#include "storage/small_file.h"

#include <cstring>

#include "core/hash.h"

namespace jujube::storage {

std::string EncodeSmallFile(std::string_view payload) {
  std::string bytes(payload);
  const std::uint64_t checksum = Hash64(payload);
  bytes.append(reinterpret_cast<const char*>(&checksum), sizeof checksum);
  return bytes;
}

std::optional<std::string> DecodeSmallFile(std::string_view bytes) {
  std::uint64_t checksum = 0;
  if (bytes.size() < sizeof checksum)
    return std::nullopt;
  const std::size_t size = bytes.size() - sizeof checksum;
  std::memcpy(&checksum, bytes.data() + size, sizeof checksum);
  if (Hash64(bytes.substr(0, size)) != checksum)
    return std::nullopt;
  return std::string(bytes.substr(0, size));
}

}  // namespace jujube::storage
