// IdempotencyKey: identifies a non-repeatable request and states when the
// caller issued it.
//
//   Idempotency-Key: <issue time, Unix ms>-<random part>
//
// The claim store decides whether the request of a key may run. CheckAge finds,
// without a round trip to the store, the keys that it cannot decide: their
// claim may have been deleted already, or would have to be kept for too long.

#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "core/clock.h"
#include "core/result.h"

namespace jujube::request {

struct IdempotencyKey {
  UnixMillis m_issued_at{0};
  std::string m_random;  // 8 to 64 letters, digits, '_' or '-'

  friend auto operator<=>(const IdempotencyKey&,
                          const IdempotencyKey&) = default;
};

enum class KeyAge : std::uint8_t {
  kUsable,
  kExpired,         // its claim may have been deleted: answer may-have-run
  kTooFarInFuture,  // issued more than 5 min ahead: refuse as not-run
};

// Parses the header value; kInvalidInput if it is malformed.
Result<IdempotencyKey> ParseIdempotencyKey(std::string_view text);

// Formats the key as ParseIdempotencyKey expects it.
std::string ToText(const IdempotencyKey& key);

// `retention`: how long the store keeps a claim after the issue time of its
// key.
KeyAge CheckAge(const IdempotencyKey& key,
                UnixMillis now,
                std::chrono::milliseconds retention);

}  // namespace jujube::request
