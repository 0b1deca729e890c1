#include "request/idempotency_key.h"

#include <algorithm>
#include <charconv>

namespace jujube::request {
namespace {

constexpr std::size_t kMaxTimeDigits = 15;  // until the year 33658
constexpr std::size_t kMinRandomLength = 8;
constexpr std::size_t kMaxRandomLength = 64;

// Tolerance for callers whose clock is ahead. The claim of a key issued further
// ahead would have to be kept much longer than the retention.
constexpr std::chrono::minutes kMaxClockSkew{5};

bool IsKeyCharacter(char c) {
  return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') ||
         (c >= 'A' && c <= 'Z') || c == '_' || c == '-';
}

bool IsDigit(char c) {
  return c >= '0' && c <= '9';
}

}  // namespace

Result<IdempotencyKey> ParseIdempotencyKey(std::string_view text) {
  const std::size_t dash = text.find('-');
  const std::string_view time_text = text.substr(0, dash);
  const std::string_view random_text =
      dash == std::string_view::npos ? "" : text.substr(dash + 1);
  const bool is_time_valid =
      !time_text.empty() && time_text.size() <= kMaxTimeDigits &&
      std::all_of(time_text.begin(), time_text.end(), IsDigit);
  const bool is_random_valid =
      random_text.size() >= kMinRandomLength &&
      random_text.size() <= kMaxRandomLength &&
      std::all_of(random_text.begin(), random_text.end(), IsKeyCharacter);
  if (!is_time_valid || !is_random_valid) {
    return MakeError(ErrorCode::kInvalidInput,
                     "Idempotency-Key: expected <unix ms>-<8 to 64 letters, "
                     "digits, '_' or '-'>");
  }
  std::int64_t issued_ms = 0;
  std::from_chars(time_text.data(), time_text.data() + time_text.size(),
                  issued_ms);
  return IdempotencyKey{.m_issued_at = UnixMillis(issued_ms),
                        .m_random = std::string(random_text)};
}

std::string ToText(const IdempotencyKey& key) {
  return std::to_string(key.m_issued_at.count()) + "-" + key.m_random;
}

KeyAge CheckAge(const IdempotencyKey& key,
                UnixMillis now,
                std::chrono::milliseconds retention) {
  if (key.m_issued_at > now + kMaxClockSkew)
    return KeyAge::kTooFarInFuture;
  return now - key.m_issued_at > retention ? KeyAge::kExpired : KeyAge::kUsable;
}

}  // namespace jujube::request
