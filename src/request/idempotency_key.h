// IdempotencyKey: name of a non-repeatable request, with its time of issue.
//
//   Idempotency-Key: <issued unix ms>-<random>
//
// The claim store decides on the key itself; CheckAge rejects the ones that it
// cannot know, without a round trip.

#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "core/clock.h"
#include "core/result.h"

namespace jujube::request {

struct IdempotencyKey {
  UnixMillis m_issued{0};
  std::string m_random;  // 8 to 64 letters, digits, '_' or '-'

  friend auto operator<=>(const IdempotencyKey&,
                          const IdempotencyKey&) = default;
};

enum class KeyAge : std::uint8_t {
  kUsable,
  kTooOld,    // may be forgotten already: answer may-have-run
  kTooEarly,  // issued more than 5 min in the future: refuse, not-run
};

// kInvalidInput if the value does not have the form above.
Result<IdempotencyKey> ParseIdempotencyKey(std::string_view text);

// The form that ParseIdempotencyKey reads.
std::string ToText(const IdempotencyKey& key);

KeyAge CheckAge(const IdempotencyKey& key,
                UnixMillis now,
                std::chrono::milliseconds retention);

}  // namespace jujube::request
