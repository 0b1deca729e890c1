#include "entry/claim_digest.h"

#include "core/hash.h"

namespace jujube::entry {

std::string ClaimDigest(const RequestHead& head,
                        const Route& route,
                        std::string_view body) {
  std::string content = head.m_method + "\n" + route.m_target + "\n";
  content += body;
  const std::string digest = Sha256(content);
  // Without tenants, the digest is the one of earlier versions, whose claims
  // are in the log. With one, a stored response is not returned to another
  // tenant that sends the same key.
  return route.m_tenant ? Sha256(route.m_tenant->m_value + "\n" + digest)
                        : digest;
}

}  // namespace jujube::entry
