#include "control/claim_store.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace jujube::control {

namespace {

// Bounds the work of one command; old claims do not count meanwhile.
constexpr std::size_t kMaxForgottenAtOnce = 256;

constexpr std::size_t kMaxKeyBytes = 200;

std::uint64_t SizeOf(const std::optional<StoredAnswer>& answer) {
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

ClaimReply AnswerFrom(const ClaimRecord& record,
                      const ClaimRequest& request,
                      const HostRegistry& hosts) {
  if (record.m_digest != request.m_digest)
    return {.m_outcome = ClaimOutcome::kConflict};
  if (record.m_finished) {
    if (record.m_verdict != Verdict::kRan)
      return {.m_outcome = ClaimOutcome::kMayHaveRun};
    return {.m_outcome = ClaimOutcome::kFinished, .m_answer = record.m_answer};
  }
  if (!hosts.IsCurrent(record.m_host, record.m_session))
    return {.m_outcome = ClaimOutcome::kMayHaveRun};
  if (IsHolder(record, request))
    return {.m_outcome = ClaimOutcome::kGranted};
  return {.m_outcome = ClaimOutcome::kInProgress};
}

}  // namespace

std::optional<std::uint64_t> IssueTime(std::string_view key) {
  const std::size_t dash = key.find('-');
  if (dash == std::string_view::npos || dash + 1 == key.size() ||
      key.size() > kMaxKeyBytes) {
    return std::nullopt;
  }
  std::uint64_t issued = 0;
  const auto [end, error] =
      std::from_chars(key.data(), key.data() + dash, issued);
  if (error != std::errc() || end != key.data() + dash)
    return std::nullopt;
  // Other texts of the same number would be other keys.
  if (key.front() == '0')
    return std::nullopt;
  return issued;
}

ClaimStore::ClaimStore(std::vector<ClaimRecord> records, std::uint64_t horizon)
    : m_horizon(horizon) {
  for (ClaimRecord& record : records) {
    Id id(record.m_service, record.m_key);
    m_by_issue_time.emplace(IssueTime(record.m_key).value_or(0), id);
    m_answer_bytes += SizeOf(record.m_answer);
    m_records.emplace(std::move(id), std::move(record));
  }
}

void ClaimStore::Advance(std::uint64_t now, const ClaimLimits& limits) {
  const auto retention = static_cast<std::uint64_t>(limits.m_retention.count());
  const std::uint64_t oldest = now - std::min(now, retention);
  m_horizon = std::max(m_horizon, oldest);
  for (std::size_t i = 0; i < kMaxForgottenAtOnce; ++i) {
    if (m_by_issue_time.empty() ||
        m_by_issue_time.begin()->first >= m_horizon) {
      return;
    }
    Erase(m_records.find(m_by_issue_time.begin()->second));
  }
}

ClaimReply ClaimStore::Claim(const ClaimRequest& request,
                             std::uint64_t session,
                             const HostRegistry& hosts,
                             const ClaimLimits& limits,
                             std::uint64_t now) {
  const std::optional<std::uint64_t> issued = IssueTime(request.m_key);
  if (!issued || *issued > now + kMaxFutureMs)
    return {.m_outcome = ClaimOutcome::kBadKey};
  if (*issued < m_horizon)
    return {.m_outcome = ClaimOutcome::kMayHaveRun};
  Id id(request.m_service, request.m_key);
  const auto known = m_records.find(id);
  if (known != m_records.end())
    return AnswerFrom(known->second, request, hosts);
  if (m_records.size() >= limits.m_max_claims)
    return {.m_outcome = ClaimOutcome::kStoreFull};
  m_by_issue_time.emplace(*issued, id);
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
  const auto at = m_records.find(Id(finish.m_service, finish.m_key));
  // The reply to an earlier "not run" was lost.
  if (at == m_records.end())
    return {.m_accepted = not_run};
  ClaimRecord& record = at->second;
  if (!IsHolder(record, finish))
    return {.m_accepted = false};
  if (record.m_finished && record.m_verdict == Verdict::kRan)
    return {.m_accepted = finish.m_verdict == Verdict::kRan};
  if (not_run) {
    // Others may have been told that it may have run.
    if (record.m_finished || !hosts.IsCurrent(record.m_host, record.m_session))
      return {.m_accepted = false};
    Erase(at);
    return {.m_accepted = true};
  }
  Store(record, finish, limits);
  return {.m_accepted = true};
}

void ClaimStore::Store(ClaimRecord& record,
                       const ClaimFinish& finish,
                       const ClaimLimits& limits) {
  record.m_finished = true;
  record.m_verdict = finish.m_verdict;
  const std::uint64_t size = SizeOf(finish.m_answer);
  const bool fits = size <= limits.m_max_answer_bytes &&
                    m_answer_bytes + size <= kMaxAnswerBytes;
  if (finish.m_verdict != Verdict::kRan || !fits)
    return;
  record.m_answer = finish.m_answer;
  m_answer_bytes += size;
}

void ClaimStore::Erase(Records::iterator at) {
  m_by_issue_time.erase({IssueTime(at->second.m_key).value_or(0), at->first});
  m_answer_bytes -= SizeOf(at->second.m_answer);
  m_records.erase(at);
}

}  // namespace jujube::control
