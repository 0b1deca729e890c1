#include "tenants/access.h"

#include <cstdint>
#include <set>
#include <string_view>

#include <gtest/gtest.h>

namespace jujube::tenants {
namespace {

constexpr auto kMissing = CredentialState::kMissing;
constexpr auto kMalformed = CredentialState::kMalformed;
constexpr auto kPresent = CredentialState::kPresent;

// Guards against a request without a valid key that is accepted, against a
// valid key that is refused, and against a 401 from a host that may lack the
// key. One row for each rule; the inputs that a rule does not mention take all
// values.
TEST(TenantAccess, DecisionsFollowTheTable) {
  for (std::uint32_t bits = 0; bits < 64; ++bits) {
    for (const CredentialState state : {kMissing, kMalformed, kPresent}) {
      const AccessInputs inputs{.m_has_tenants = (bits & 1U) != 0,
                                .m_allows_anonymous = (bits & 2U) != 0,
                                .m_credential = state,
                                .m_is_key_known = (bits & 4U) != 0,
                                .m_may_be_outdated = (bits & 8U) != 0,
                                .m_is_lease_expired = (bits & 16U) != 0,
                                .m_has_region = (bits & 32U) != 0};
      AccessAnswer expected = AccessAnswer::kTenant;
      if (!inputs.m_has_tenants)
        expected = AccessAnswer::kOpen;
      else if (state == kMissing && inputs.m_allows_anonymous)
        expected = AccessAnswer::kAnonymous;
      else if (state == kPresent && inputs.m_is_key_known)
        expected = inputs.m_is_lease_expired ? AccessAnswer::kLeaseExpired
                   : inputs.m_has_region     ? AccessAnswer::kTenant
                                             : AccessAnswer::kNoRegion;
      else if (inputs.m_may_be_outdated)
        expected = AccessAnswer::kOutdated;
      else if (state == kMissing)
        expected = AccessAnswer::kNoKey;
      else if (state == kMalformed)
        expected = AccessAnswer::kMalformedKey;
      else
        expected = AccessAnswer::kUnknownKey;
      EXPECT_EQ(DecideAccess(inputs), expected)
          << bits << " " << static_cast<int>(state);
    }
  }
}

// Guards against a status that callers take for final although the key may be
// valid (401 instead of 503), and against an accepted request that counts as a
// refusal.
TEST(TenantAccess, StatusAndReasonOfEachAnswer) {
  struct Row {
    AccessAnswer m_answer;
    std::uint16_t m_status;  // 0: accepted
    std::string_view m_label;
    bool m_is_temporary = false;
  };
  std::set<std::string_view> reasons;
  for (const Row& row :
       {Row{AccessAnswer::kOpen, 0, "open"},
        Row{AccessAnswer::kAnonymous, 0, "anonymous"},
        Row{AccessAnswer::kTenant, 0, "tenant"},
        Row{AccessAnswer::kNoKey, 401, "no_key"},
        Row{AccessAnswer::kMalformedKey, 401, "malformed_key"},
        Row{AccessAnswer::kUnknownKey, 401, "unknown_key"},
        Row{AccessAnswer::kOutdated, 503, "key_check_outdated", true},
        Row{AccessAnswer::kLeaseExpired, 503, "key_lease_expired", true},
        Row{AccessAnswer::kNoRegion, 503, "no_region"}}) {
    EXPECT_EQ(ToString(row.m_answer), row.m_label);
    EXPECT_EQ(IsRefused(row.m_answer), row.m_status != 0) << row.m_label;
    if (row.m_status == 0)
      continue;
    EXPECT_EQ(StatusOf(row.m_answer), row.m_status) << row.m_label;
    EXPECT_EQ(IsTemporary(row.m_answer), row.m_is_temporary) << row.m_label;
    EXPECT_TRUE(reasons.insert(ReasonOf(row.m_answer)).second) << row.m_label;
    EXPECT_EQ(ReasonOf(row.m_answer).find('\n'), std::string_view::npos);
  }
}

}  // namespace
}  // namespace jujube::tenants
