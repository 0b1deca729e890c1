#include "entry/caller_key.h"

#include <algorithm>

#include "net/http_fields.h"

namespace jujube::entry {

tenants::Credential ReadCallerKey(const std::vector<Header>& headers) {
  const auto is_key_field = [](const Header& header) {
    return IsCallerKeyField(header.m_name);
  };
  const auto first = std::find_if(headers.begin(), headers.end(), is_key_field);
  if (first == headers.end())
    return {};
  // With two keys it is unclear for which tenant the caller asks.
  if (std::any_of(first + 1, headers.end(), is_key_field))
    return {.m_state = tenants::CredentialState::kMalformed};
  return tenants::ParseCredential(first->m_value);
}

bool IsCallerKeyField(std::string_view name) {
  return net::EqualsIgnoreCase(name, tenants::kCredentialField);
}

}  // namespace jujube::entry
