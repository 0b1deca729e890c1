#include "net/bearer.h"

#include <openssl/crypto.h>

#include "net/http_fields.h"

namespace jujube::net {

bool HasBearerKey(const RequestHead& head, std::string_view key) {
  static constexpr std::string_view kPrefix = "Bearer ";
  const auto value = FindHeader(head.m_headers, "Authorization");
  if (!value || !value->starts_with(kPrefix))
    return false;
  const std::string_view presented_key = value->substr(kPrefix.size());
  return presented_key.size() == key.size() &&
         CRYPTO_memcmp(presented_key.data(), key.data(), key.size()) == 0;
}

}  // namespace jujube::net
