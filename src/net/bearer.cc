#include "net/bearer.h"

#include <openssl/crypto.h>

#include "net/http_fields.h"

namespace jujube::net {

bool HasBearerKey(const RequestHead& head, std::string_view key) {
  static constexpr std::string_view kScheme = "Bearer ";
  const auto value = FindHeader(head.m_headers, "Authorization");
  if (!value || !value->starts_with(kScheme))
    return false;
  const std::string_view given = value->substr(kScheme.size());
  return given.size() == key.size() &&
         CRYPTO_memcmp(given.data(), key.data(), key.size()) == 0;
}

}  // namespace jujube::net
