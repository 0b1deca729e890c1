// Times of the exchange of quotas. docs/design/quotas.md derives them.

#pragma once

#include <chrono>

namespace jujube::quotas {

// Time after a report for which its grant holds. Longer than an election and
// kConfirmationBound, so that hosts have tokens meanwhile.
inline constexpr std::chrono::milliseconds kGrantLease{3000};
// The leader counts it a little longer, because clocks drift by up to 1%.
inline constexpr std::chrono::milliseconds kGrantLeaseAtLeader{3050};

// A leader grants only within this time after the start of a read barrier that
// succeeded, and a new leader starts to grant this long after its election.
inline constexpr std::chrono::milliseconds kConfirmationBound{800};

inline constexpr std::chrono::milliseconds kReportInterval{500};
// Least interval of reports while requests wait for tokens.
inline constexpr std::chrono::milliseconds kUrgentReportInterval{20};
// Interval of reports to a new leader, which may not grant yet.
inline constexpr std::chrono::milliseconds kFirstReportInterval{200};
// A report without an answer for this long is not waited for before an urgent
// one.
inline constexpr std::chrono::milliseconds kMaxRoundTrip{150};
// Time for which a request waits for a token: two round trips between regions,
// and the intervals at which the need is noticed.
inline constexpr std::chrono::milliseconds kMaxTokenWait{250};
// A host without any use to report renews its lease when this much is left.
inline constexpr std::chrono::milliseconds kRenewBefore{2000};
// Use that is small compared with the tokens left is reported this late.
inline constexpr std::chrono::milliseconds kMaxUseAge{2000};
// Reports without an answer for this long are repeated completely.
inline constexpr std::chrono::milliseconds kAnswerTimeout{1500};

}  // namespace jujube::quotas
