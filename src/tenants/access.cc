#include "tenants/access.h"

namespace jujube::tenants {
namespace {

constexpr std::uint16_t kUnauthorized = 401;
constexpr std::uint16_t kServiceUnavailable = 503;

AccessAnswer AnswerWithoutTenant(const AccessInputs& inputs) {
  if (inputs.m_may_be_outdated)
    return AccessAnswer::kOutdated;
  switch (inputs.m_credential) {
    case CredentialState::kMissing:
      return AccessAnswer::kNoKey;
    case CredentialState::kMalformed:
      return AccessAnswer::kMalformedKey;
    case CredentialState::kPresent:
      break;
  }
  return AccessAnswer::kUnknownKey;
}

}  // namespace

AccessAnswer DecideAccess(const AccessInputs& inputs) {
  if (!inputs.m_has_tenants)
    return AccessAnswer::kOpen;
  const bool is_anonymous = inputs.m_credential == CredentialState::kMissing &&
                            inputs.m_allows_anonymous;
  if (is_anonymous)
    return AccessAnswer::kAnonymous;
  // A bad key is refused also where none is needed: the caller expects to be
  // served as its tenant.
  const bool has_tenant =
      inputs.m_credential == CredentialState::kPresent && inputs.m_is_key_known;
  if (!has_tenant)
    return AnswerWithoutTenant(inputs);
  if (inputs.m_is_lease_expired)
    return AccessAnswer::kLeaseExpired;
  return inputs.m_has_region ? AccessAnswer::kTenant : AccessAnswer::kNoRegion;
}

std::string_view ToString(AccessAnswer answer) {
  switch (answer) {
    case AccessAnswer::kOpen:
      return "open";
    case AccessAnswer::kAnonymous:
      return "anonymous";
    case AccessAnswer::kTenant:
      return "tenant";
    case AccessAnswer::kNoKey:
      return "no_key";
    case AccessAnswer::kMalformedKey:
      return "malformed_key";
    case AccessAnswer::kUnknownKey:
      return "unknown_key";
    case AccessAnswer::kOutdated:
      return "key_check_outdated";
    case AccessAnswer::kLeaseExpired:
      return "key_lease_expired";
    case AccessAnswer::kNoRegion:
      return "no_region";
  }
  return "unknown";
}

std::string_view ReasonOf(AccessAnswer refusal) {
  switch (refusal) {
    case AccessAnswer::kNoKey:
      return "the request needs a key: Authorization: Bearer KEY";
    case AccessAnswer::kMalformedKey:
      return "the Authorization field is not a single Bearer key";
    case AccessAnswer::kUnknownKey:
      return "no tenant holds this key";
    case AccessAnswer::kOutdated:
      return "the configuration of this host may be outdated";
    case AccessAnswer::kLeaseExpired:
      return "this host cannot confirm that the key is still valid";
    case AccessAnswer::kNoRegion:
      return "the route and the tenant have no region in common";
    default:
      return "accepted";
  }
}

std::uint16_t StatusOf(AccessAnswer refusal) {
  const bool is_key_refused = refusal == AccessAnswer::kNoKey ||
                              refusal == AccessAnswer::kMalformedKey ||
                              refusal == AccessAnswer::kUnknownKey;
  return is_key_refused ? kUnauthorized : kServiceUnavailable;
}

}  // namespace jujube::tenants
