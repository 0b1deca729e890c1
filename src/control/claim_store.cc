#include "control/claim_store.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace jujube::control {

namespace {

// Bounds the work of one command. Claim() ignores claims older than the horizon
// even before they are evicted; they still count towards the limits.
constexpr std::size_t kMaxEvictionsPerCommand = 256;

constexpr std::size_t kMaxKeyBytes = 200;

std::uint64_t SizeInBytes(const std::optional<StoredAnswer>& answer) {
  if (!answer)
    return 0;
  std::uint64_t size = answer->m_body.size();
  for (const Header& header : answer->m_headers)
    size += header.m_name.size() + header.m_value.size();
  return size;
}

bool IsHolder(const ClaimRecord& record, const ClaimFinish& finish) {
  return record.m_host == finish.m_host &&
         record.m_incarnation == finish.m_incarnation &&
         record.m_attempt == finish.m_attempt;
}

bool IsHolder(const ClaimRecord& record, const ClaimRequest& request) {
  return record.m_host == request.m_host &&
         record.m_incarnation == request.m_incarnation &&
         record.m_attempt == request.m_attempt;
}

ClaimReply ReplyFromRecord(const ClaimRecord& record,
                           const ClaimRequest& request,
                           const HostRegistry& hosts) {
  if (record.m_digest != request.m_digest)
    return {.m_outcome = ClaimOutcome::kConflict};
  if (record.m_finished) {
    if (record.m_verdict != Verdict::kRan)
      return {.m_outcome = ClaimOutcome::kMayHaveRun};
    return {.m_outcome = ClaimOutcome::kFinished, .m_answer = record.m_answer};
  }
  if (!hosts.IsCurrentSession(record.m_host, record.m_session))
    return {.m_outcome = ClaimOutcome::kMayHaveRun};
  if (IsHolder(record, request))
    return {.m_outcome = ClaimOutcome::kGranted};
  return {.m_outcome = ClaimOutcome::kInProgress};
}

}  // namespace

std::optional<std::uint64_t> ParseIssueTimeMs(std::string_view key) {
  const std::size_t dash = key.find('-');
  if (dash == std::string_view::npos || dash + 1 == key.size() ||
      key.size() > kMaxKeyBytes) {
    return std::nullopt;
  }
  std::uint64_t issued_ms = 0;
  const auto [end, error] =
      std::from_chars(key.data(), key.data() + dash, issued_ms);
  if (error != std::errc() || end != key.data() + dash)
    return std::nullopt;
  // With leading zeros, one issue time would have several spellings, and each
  // would be a key of its own.
  if (key.front() == '0')
    return std::nullopt;
  return issued_ms;
}

ClaimStore::ClaimStore(std::vector<ClaimRecord> records,
                       std::uint64_t horizon_ms)
    : m_horizon_ms(horizon_ms) {
  for (ClaimRecord& record : records) {
    Id id(record.m_service, record.m_key);
    m_by_issue_time.emplace(ParseIssueTimeMs(record.m_key).value_or(0), id);
    m_total_answer_bytes += SizeInBytes(record.m_answer);
    m_records.emplace(std::move(id), std::move(record));
  }
}

void ClaimStore::AdvanceHorizon(std::uint64_t now_ms,
                                const ClaimLimits& limits) {
  const auto retention_ms =
      static_cast<std::uint64_t>(limits.m_retention.count());
  const std::uint64_t oldest_kept_ms = now_ms - std::min(now_ms, retention_ms);
  m_horizon_ms = std::max(m_horizon_ms, oldest_kept_ms);
  for (std::size_t i = 0; i < kMaxEvictionsPerCommand; ++i) {
    if (m_by_issue_time.empty() ||
        m_by_issue_time.begin()->first >= m_horizon_ms) {
      return;
    }
    EraseRecord(m_records.find(m_by_issue_time.begin()->second));
  }
}

ClaimReply ClaimStore::Claim(const ClaimRequest& request,
                             std::uint64_t session,
                             const HostRegistry& hosts,
                             const ClaimLimits& limits,
                             std::uint64_t now_ms) {
  const std::optional<std::uint64_t> issued_ms =
      ParseIssueTimeMs(request.m_key);
  if (!issued_ms || *issued_ms > now_ms + kMaxCallerClockSkewMs)
    return {.m_outcome = ClaimOutcome::kBadKey};
  if (*issued_ms < m_horizon_ms)
    return {.m_outcome = ClaimOutcome::kMayHaveRun};
  Id id(request.m_service, request.m_key);
  const auto existing = m_records.find(id);
  if (existing != m_records.end())
    return ReplyFromRecord(existing->second, request, hosts);
  if (m_records.size() >= limits.m_max_claims)
    return {.m_outcome = ClaimOutcome::kStoreFull};
  m_by_issue_time.emplace(*issued_ms, id);
  m_records.emplace(std::move(id),
                    ClaimRecord{.m_service = request.m_service,
                                .m_key = request.m_key,
                                .m_digest = request.m_digest,
                                .m_host = request.m_host,
                                .m_incarnation = request.m_incarnation,
                                .m_session = session,
                                .m_attempt = request.m_attempt});
  return {.m_outcome = ClaimOutcome::kGranted};
}

ClaimFinishReply ClaimStore::Finish(const ClaimFinish& finish,
                                    const HostRegistry& hosts,
                                    const ClaimLimits& limits) {
  const bool not_run = finish.m_verdict == Verdict::kNotRun;
  const auto it = m_records.find(Id(finish.m_service, finish.m_key));
  // An absent claim holds nothing to release: it was released before (the reply
  // was lost), evicted, or never granted.
  if (it == m_records.end())
    return {.m_accepted = not_run};
  ClaimRecord& record = it->second;
  if (!IsHolder(record, finish))
    return {.m_accepted = false};
  if (record.m_finished && record.m_verdict == Verdict::kRan)
    return {.m_accepted = finish.m_verdict == Verdict::kRan};
  if (not_run) {
    // Another host may already have received the reply "may have run".
    if (record.m_finished ||
        !hosts.IsCurrentSession(record.m_host, record.m_session))
      return {.m_accepted = false};
    EraseRecord(it);
    return {.m_accepted = true};
  }
  RecordOutcome(record, finish, limits);
  return {.m_accepted = true};
}

void ClaimStore::RecordOutcome(ClaimRecord& record,
                               const ClaimFinish& finish,
                               const ClaimLimits& limits) {
  record.m_finished = true;
  record.m_verdict = finish.m_verdict;
  const std::uint64_t size = SizeInBytes(finish.m_answer);
  const bool is_storable = size <= limits.m_max_answer_bytes &&
                           m_total_answer_bytes + size <= kMaxTotalAnswerBytes;
  if (finish.m_verdict != Verdict::kRan || !is_storable)
    return;
  record.m_answer = finish.m_answer;
  m_total_answer_bytes += size;
}

void ClaimStore::EraseRecord(Records::iterator it) {
  m_by_issue_time.erase(
      {ParseIssueTimeMs(it->second.m_key).value_or(0), it->first});
  m_total_answer_bytes -= SizeInBytes(it->second.m_answer);
  m_records.erase(it);
}

}  // namespace jujube::control
