#include "tenants/credential.h"

#include <algorithm>
#include <cstddef>

namespace jujube::tenants {
namespace {

constexpr std::string_view kScheme = "bearer";
constexpr std::size_t kMaxKeyBytes = 256;
constexpr char kFirstVisible = '!';
constexpr char kLastVisible = '~';

bool EqualsScheme(std::string_view text) {
  return std::equal(text.begin(), text.end(), kScheme.begin(), kScheme.end(),
                    [](char a, char b) {
                      const bool is_upper = a >= 'A' && a <= 'Z';
                      return (is_upper ? a - 'A' + 'a' : a) == b;
                    });
}

}  // namespace

Credential ParseCredential(std::string_view field_value) {
  const Credential malformed{.m_state = CredentialState::kMalformed};
  const std::size_t scheme_end = field_value.find(' ');
  if (scheme_end == std::string_view::npos ||
      !EqualsScheme(field_value.substr(0, scheme_end)))
    return malformed;
  field_value.remove_prefix(scheme_end);
  field_value.remove_prefix(
      std::min(field_value.find_first_not_of(' '), field_value.size()));
  if (!IsValidKey(field_value))
    return malformed;
  return {.m_state = CredentialState::kPresent, .m_key = field_value};
}

bool IsValidKey(std::string_view key) {
  return !key.empty() && key.size() <= kMaxKeyBytes &&
         std::all_of(key.begin(), key.end(), [](char c) {
           return c >= kFirstVisible && c <= kLastVisible;
         });
}

}  // namespace jujube::tenants
