// Credential: the key that a caller sends with its request.

#pragma once

#include <compare>
#include <cstdint>
#include <string_view>

namespace jujube::tenants {

inline constexpr std::string_view kCredentialField = "Authorization";

enum class CredentialState : std::uint8_t {
  kMissing,    // no Authorization field
  kMalformed,  // not "Bearer KEY", or more than one field
  kPresent,
};

struct Credential {
  CredentialState m_state = CredentialState::kMissing;
  // Refers to the parsed header fields. Must not be logged.
  std::string_view m_key;

  friend auto operator<=>(const Credential&, const Credential&) = default;
};

// Parses the value of the field, "Bearer KEY" (RFC 6750). The scheme is not
// case-sensitive.
Credential ParseCredential(std::string_view field_value);

// True for 1 to 256 visible ASCII characters.
bool IsValidKey(std::string_view key);

}  // namespace jujube::tenants
