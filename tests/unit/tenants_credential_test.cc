#include "tenants/credential.h"

#include <string>

#include <gtest/gtest.h>

#include "entry/caller_key.h"

namespace jujube::tenants {
namespace {

constexpr auto kMissing = CredentialState::kMissing;
constexpr auto kMalformed = CredentialState::kMalformed;
constexpr auto kPresent = CredentialState::kPresent;

// Guards against a valid key that is refused because of the spelling of the
// scheme or of more than one space (RFC 7235 allows both).
TEST(TenantCredential, KeysAreTaken) {
  for (const std::string text :
       {"Bearer k-17", "bearer k-17", "BEARER k-17", "BeArEr  k-17"}) {
    EXPECT_EQ(ParseCredential(text), (Credential{kPresent, "k-17"})) << text;
  }
  const std::string longest(256, 'k');
  EXPECT_EQ(ParseCredential("Bearer " + longest),
            (Credential{kPresent, longest}));
  EXPECT_EQ(ParseCredential("Bearer !~"), (Credential{kPresent, "!~"}));
}

// Guards against part of a malformed field that is taken for a key, and against
// reading beyond its end.
TEST(TenantCredential, MalformedFieldsAreRefused) {
  using std::string_literals::operator""s;
  for (const std::string& text : {""s,
                                  " "s,
                                  "Bearer"s,
                                  "Bearer "s,
                                  "Bearer   "s,
                                  "k-17"s,
                                  "Bearerk-17"s,
                                  "Basic k-17"s,
                                  "Bearer\tk-17"s,
                                  " Bearer k-17"s,
                                  "Bearer k-17 "s,
                                  "Bearer k-17 k-18"s,
                                  "Bearer k-17,Bearer k-18"s + " x",
                                  "Bearer k\t17"s,
                                  "Bearer k-17\0"s,
                                  "Bearer k\x7f"s,
                                  "Bearer k\x80"s,
                                  "Bearer \xc3\xa5"s,
                                  "Bearer " + std::string(257, 'k'),
                                  "Bearer" + std::string(100000, ' ')}) {
    EXPECT_EQ(ParseCredential(text), (Credential{kMalformed, ""})) << text;
  }
}

// Guards against one of several keys that is used while another proxy or the
// caller means the other one.
TEST(TenantCredential, OnlyASingleFieldIsRead) {
  using entry::ReadCallerKey;
  EXPECT_EQ(ReadCallerKey({}), (Credential{kMissing, ""}));
  EXPECT_EQ(ReadCallerKey({{"Host", "a"}, {"X-Authorization", "Bearer k"}}),
            (Credential{kMissing, ""}));
  const std::vector<Header> single{{"Host", "a"},
                                   {"aUTHORIZATION", "Bearer k-17"}};
  EXPECT_EQ(ReadCallerKey(single), (Credential{kPresent, "k-17"}));
  for (const std::string second : {"Bearer k-17", "Bearer k-18", ""}) {
    EXPECT_EQ(ReadCallerKey({{"Authorization", "Bearer k-17"},
                             {"Host", "a"},
                             {"authorization", second}}),
              (Credential{kMalformed, ""}))
        << second;
  }
}

TEST(TenantCredential, ValidKeysAreVisibleAscii) {
  EXPECT_TRUE(IsValidKey("a"));
  EXPECT_TRUE(IsValidKey(std::string(256, 'a')));
  EXPECT_FALSE(IsValidKey(""));
  EXPECT_FALSE(IsValidKey(std::string(257, 'a')));
  for (int byte = 0; byte < 256; ++byte) {
    const std::string key{'k', static_cast<char>(byte)};
    EXPECT_EQ(IsValidKey(key), byte > 0x20 && byte < 0x7f) << byte;
  }
}

}  // namespace
}  // namespace jujube::tenants
