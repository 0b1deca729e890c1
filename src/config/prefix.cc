#include "config/prefix.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>

namespace jujube::config {

namespace {

constexpr std::size_t kIpv4Bytes = 4;
constexpr std::size_t kIpv6Bytes = 16;
constexpr unsigned kBitsPerByte = 8;

struct Address {
  int m_family = AF_INET;
  std::size_t m_size_bytes = kIpv4Bytes;
  std::array<unsigned char, kIpv6Bytes> m_bytes{};
};

std::optional<Address> ParseAddress(std::string_view text) {
  const std::string null_terminated(text);
  if (null_terminated.find('\0') != std::string::npos)
    return std::nullopt;
  Address address;
  if (inet_pton(AF_INET, null_terminated.c_str(), address.m_bytes.data()) == 1)
    return address;
  address.m_family = AF_INET6;
  address.m_size_bytes = kIpv6Bytes;
  if (inet_pton(AF_INET6, null_terminated.c_str(), address.m_bytes.data()) == 1)
    return address;
  return std::nullopt;
}

std::string FormatAddress(const Address& address) {
  std::array<char, INET6_ADDRSTRLEN> text{};
  inet_ntop(address.m_family, address.m_bytes.data(), text.data(), text.size());
  return text.data();
}

void ClearHostBits(Address& address, unsigned prefix_length) {
  for (std::size_t i = 0; i < address.m_size_bytes; ++i) {
    const auto first_bit = static_cast<unsigned>(i) * kBitsPerByte;
    if (first_bit >= prefix_length) {
      address.m_bytes[i] = 0;
    } else if (prefix_length - first_bit < kBitsPerByte) {
      const unsigned network_bits = prefix_length - first_bit;
      address.m_bytes[i] &=
          static_cast<unsigned char>(0xffU << (kBitsPerByte - network_bits));
    }
  }
}

}  // namespace

std::optional<std::string> CanonicalAddress(std::string_view text) {
  const std::optional<Address> address = ParseAddress(text);
  if (!address)
    return std::nullopt;
  return FormatAddress(*address);
}

std::optional<std::string> CanonicalPrefix(std::string_view text) {
  const std::size_t slash = text.find('/');
  if (slash == std::string_view::npos)
    return std::nullopt;
  std::optional<Address> address = ParseAddress(text.substr(0, slash));
  const std::string_view digits = text.substr(slash + 1);
  unsigned prefix_length = 0;
  const auto [end, error] = std::from_chars(
      digits.data(), digits.data() + digits.size(), prefix_length);
  const bool is_number = error == std::errc() && end == digits.end();
  if (!address || !is_number ||
      prefix_length > address->m_size_bytes * kBitsPerByte)
    return std::nullopt;
  ClearHostBits(*address, prefix_length);
  return FormatAddress(*address) + "/" + std::to_string(prefix_length);
}

}  // namespace jujube::config
