#include "lookup/address.h"

#include <arpa/inet.h>

#include <algorithm>

namespace jujube::lookup {

namespace {

// Bits 32 to 47 of the prefix ::ffff:0:0/96.
constexpr std::uint64_t kIpv4MappedTag = 0xffff;

std::uint64_t ReadBigEndian(const std::uint8_t* bytes, int count) {
  std::uint64_t number = 0;
  for (int i = 0; i < count; ++i)
    number = (number << 8U) | bytes[i];
  return number;
}

void WriteBigEndian(std::uint64_t number, std::uint8_t* bytes, int count) {
  for (int i = count - 1; i >= 0; --i) {
    bytes[i] = static_cast<std::uint8_t>(number);
    number >>= 8U;
  }
}

}  // namespace

IpAddress AddressFromV4(std::uint32_t number) {
  return {.m_family = AddressFamily::kV4, .m_low = number};
}

IpAddress AddressFromV6(const std::array<std::uint8_t, 16>& bytes) {
  const std::uint64_t high = ReadBigEndian(bytes.data(), 8);
  const std::uint64_t low = ReadBigEndian(bytes.data() + 8, 8);
  if (high == 0 && low >> 32U == kIpv4MappedTag)
    return AddressFromV4(static_cast<std::uint32_t>(low));
  return {.m_family = AddressFamily::kV6, .m_high = high, .m_low = low};
}

Result<IpAddress> ParseAddress(std::string_view text) {
  const std::string terminated(text.substr(0, INET6_ADDRSTRLEN));
  std::array<std::uint8_t, 16> bytes{};
  if (inet_pton(AF_INET, terminated.c_str(), bytes.data()) == 1)
    return AddressFromV4(
        static_cast<std::uint32_t>(ReadBigEndian(bytes.data(), 4)));
  if (inet_pton(AF_INET6, terminated.c_str(), bytes.data()) == 1)
    return AddressFromV6(bytes);
  return MakeError(
      ErrorCode::kInvalidInput,
      "found \"" + terminated + "\", expected an IPv4 or IPv6 address");
}

std::string ToString(const IpAddress& address) {
  std::array<std::uint8_t, 16> bytes{};
  std::array<char, INET6_ADDRSTRLEN> text{};
  if (address.m_family == AddressFamily::kV4) {
    WriteBigEndian(address.m_low, bytes.data(), 4);
    inet_ntop(AF_INET, bytes.data(), text.data(), text.size());
  } else {
    WriteBigEndian(address.m_high, bytes.data(), 8);
    WriteBigEndian(address.m_low, bytes.data() + 8, 8);
    inet_ntop(AF_INET6, bytes.data(), text.data(), text.size());
  }
  return text.data();
}

}  // namespace jujube::lookup
