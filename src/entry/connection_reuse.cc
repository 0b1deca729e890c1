#include "entry/connection_reuse.h"

#include <algorithm>
#include <charconv>

namespace jujube::entry {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Shorter than the usual idle timeouts of HTTP servers (5 s and more), so that
// a request is rarely sent on a connection that the server is closing.
constexpr milliseconds kMaxIdleTime{4000};

// With a stated timeout, a repeatable request may use the connection until
// this long before its end: the close may be on its way over a busy link.
constexpr milliseconds kCloseMargin{1500};

// A request that runs at most once: half of the stated timeout, and without one
// a quarter of the usual timeouts. On hosts with few requests per upstream, a
// shorter time would leave hardly any connection to reuse.
constexpr int kAtMostOnceTimeoutDivisor = 2;
constexpr milliseconds kMaxAtMostOnceIdleTime{1000};

// Longer stated timeouts are taken as this one.
constexpr seconds kMaxStatedTimeout{60};

MonoClock::duration MaxIdleTime(const IdleState& state) {
  if (!state.m_stated_timeout)
    return kMaxIdleTime;
  const milliseconds stated =
      std::min(*state.m_stated_timeout, kMaxStatedTimeout);
  return std::max(stated - kCloseMargin, stated / 2);
}

MonoClock::duration MaxAtMostOnceIdleTime(const IdleState& state) {
  if (!state.m_stated_timeout)
    return kMaxAtMostOnceIdleTime;
  return milliseconds(std::min(*state.m_stated_timeout, kMaxStatedTimeout)) /
         kAtMostOnceTimeoutDivisor;
}

}  // namespace

ReuseAnswer DecideReuse(const ReuseRules& rules, const IdleState& state) {
  // Without the setting, everything is as it was before stated timeouts were
  // read.
  if (!rules.m_reuses_for_at_most_once) {
    if (state.m_idle_for >= kMaxIdleTime)
      return ReuseAnswer::kExpire;
    return rules.m_is_repeatable ? ReuseAnswer::kReuse : ReuseAnswer::kKeep;
  }
  if (state.m_idle_for >= MaxIdleTime(state))
    return ReuseAnswer::kExpire;
  if (rules.m_is_repeatable)
    return ReuseAnswer::kReuse;
  return !state.m_is_forgotten_elsewhere &&
                 state.m_idle_for < MaxAtMostOnceIdleTime(state)
             ? ReuseAnswer::kReuse
             : ReuseAnswer::kKeep;
}

std::optional<seconds> ParseKeepAliveTimeout(std::string_view value) {
  constexpr std::string_view kName = "timeout=";
  const std::size_t at = value.find(kName);
  if (at == std::string_view::npos)
    return std::nullopt;
  value.remove_prefix(at + kName.size());
  std::uint32_t count = 0;
  const auto [end, error] =
      std::from_chars(value.data(), value.data() + value.size(), count);
  if (error != std::errc())
    return std::nullopt;
  return seconds(count);
}

}  // namespace jujube::entry
