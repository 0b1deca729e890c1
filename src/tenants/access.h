// DecideAccess: whether a request may be forwarded with the key that its caller
// sent.
//
//   const Credential credential = ParseCredential(head.m_headers);
//   const AccessAnswer answer = DecideAccess({...});
//   if (IsRefused(answer))
//     ...StatusOf(answer), not run...
//
// A host that may not know the newest configuration answers 503 instead of 401,
// because the key may have been added meanwhile. It also stops to accept known
// keys when its lease has run out, because the key may have been taken away.

#pragma once

#include <compare>
#include <cstdint>
#include <string_view>

#include "tenants/credential.h"

namespace jujube::tenants {

struct AccessInputs {
  bool m_has_tenants = false;  // the document has tenants
  bool m_allows_anonymous = false;
  CredentialState m_credential = CredentialState::kMissing;
  bool m_is_key_known = false;      // a tenant of the document holds the key
  bool m_may_be_outdated = false;   // other hosts may have a newer document
  bool m_is_lease_expired = false;  // a known key may have been taken away
  bool m_has_region = true;  // a region may serve both the route and the tenant

  friend auto operator<=>(const AccessInputs&, const AccessInputs&) = default;
};

enum class AccessAnswer : std::uint8_t {
  kOpen,       // the document has no tenants
  kAnonymous,  // no key, and none is needed
  kTenant,     // the key of a tenant
  kNoKey,
  kMalformedKey,
  kUnknownKey,
  kOutdated,      // the key or route may be newer than the configuration
  kLeaseExpired,  // the key may have been taken away
  kNoRegion,      // no region may serve both the route and the tenant
};

AccessAnswer DecideAccess(const AccessInputs& inputs);

constexpr bool IsRefused(AccessAnswer answer) {
  return answer >= AccessAnswer::kNoKey;
}

// Label of the metric jujube_requests_refused_total.
std::string_view ToString(AccessAnswer answer);

// Reason for the caller, without its key.
std::string_view ReasonOf(AccessAnswer refusal);

// True if the same request may be accepted later on this host.
constexpr bool IsTemporary(AccessAnswer refusal) {
  return refusal == AccessAnswer::kOutdated ||
         refusal == AccessAnswer::kLeaseExpired;
}

// HTTP status of a refusal: 401 or 503.
std::uint16_t StatusOf(AccessAnswer refusal);

}  // namespace jujube::tenants
