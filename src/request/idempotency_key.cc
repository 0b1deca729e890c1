#include "request/idempotency_key.h"

#include <algorithm>
#include <charconv>

namespace jujube::request {
namespace {

constexpr std::size_t kMaxTimeDigits = 15;  // until the year 33658
constexpr std::size_t kMinRandom = 8;
constexpr std::size_t kMaxRandom = 64;

// Clocks of callers may be ahead; beyond this, a key would outlive the
// retention of its claim.
constexpr std::chrono::minutes kMaxAhead{5};

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
  const std::string_view time = text.substr(0, dash);
  const std::string_view random =
      dash == std::string_view::npos ? "" : text.substr(dash + 1);
  const bool is_time = !time.empty() && time.size() <= kMaxTimeDigits &&
                       std::all_of(time.begin(), time.end(), IsDigit);
  const bool is_random =
      random.size() >= kMinRandom && random.size() <= kMaxRandom &&
      std::all_of(random.begin(), random.end(), IsKeyCharacter);
  if (!is_time || !is_random) {
    return MakeError(ErrorCode::kInvalidInput,
                     "Idempotency-Key: expected <unix ms>-<8 to 64 letters, "
                     "digits, '_' or '-'>");
  }
  std::int64_t issued = 0;
  std::from_chars(time.data(), time.data() + time.size(), issued);
  return IdempotencyKey{.m_issued = UnixMillis(issued),
                        .m_random = std::string(random)};
}

std::string ToText(const IdempotencyKey& key) {
  return std::to_string(key.m_issued.count()) + "-" + key.m_random;
}

KeyAge CheckAge(const IdempotencyKey& key,
                UnixMillis now,
                std::chrono::milliseconds retention) {
  if (key.m_issued > now + kMaxAhead)
    return KeyAge::kTooEarly;
  return now - key.m_issued > retention ? KeyAge::kTooOld : KeyAge::kUsable;
}

}  // namespace jujube::request
