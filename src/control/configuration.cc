#include "control/configuration.h"

#include <algorithm>
#include <utility>

#include "config/difference.h"
#include "config/digest.h"
#include "core/hash.h"

namespace jujube::control {

namespace {

// Maximum number of elements of FeedChange.drains in the schema.
constexpr std::size_t kMaxDrains = 4096;
constexpr std::uint64_t kShiftWindowMs = 60000;

template <class Object>
bool ContainsName(const std::vector<Object>& objects, const std::string& name) {
  return std::ranges::any_of(objects, [&](const Object& object) {
    return object.m_name.m_value == name;
  });
}

bool HasDrainTarget(const Deployment& document, const Drain& drain) {
  switch (drain.m_kind) {
    case DrainKind::kInstance: {
      const std::size_t slash = drain.m_name.find('/');
      return slash != std::string::npos && slash + 1 < drain.m_name.size() &&
             ContainsName(document.m_services, drain.m_name.substr(0, slash));
    }
    case DrainKind::kEntryHost:
      return ContainsName(document.m_entry_hosts, drain.m_name);
    case DrainKind::kAvailabilityZone:
      return ContainsName(document.m_availability_zones, drain.m_name);
    case DrainKind::kRegion:
      return ContainsName(document.m_regions, drain.m_name);
  }
  return false;
}

}  // namespace

Configuration::Configuration()
    : m_document(std::make_shared<const Deployment>()) {}

Configuration::Configuration(const ControlSnapshotHead& head,
                             std::vector<CallerBlock> blocks)
    : m_drains(head.m_drains),
      m_shift(head.m_shift),
      m_history(head.m_history),
      m_document_index(head.m_document_index),
      m_feed_index(head.m_feed_index) {
  Deployment document = head.m_deployment;
  document.m_blocks = std::move(blocks);
  m_document = std::make_shared<const Deployment>(std::move(document));
}

std::optional<ApplyAnswer> Configuration::AnswerFromHistory(
    std::uint64_t number,
    const std::string& digest) const {
  const auto accepted =
      std::ranges::find(m_history, number, &HistoryEntry::m_number);
  if (accepted != m_history.end()) {
    const bool is_resent = accepted->m_digest == Hex(digest);
    return ApplyAnswer{.m_outcome = is_resent ? ApplyOutcome::kAccepted
                                              : ApplyOutcome::kConflict,
                       .m_accepted = *accepted};
  }
  if (number <= m_document->m_number) {
    return ApplyAnswer{
        .m_outcome = ApplyOutcome::kNumberTooLow,
        .m_accepted = m_history.empty() ? HistoryEntry{} : m_history.back()};
  }
  return std::nullopt;
}

std::optional<std::string> Configuration::ShiftLimitError(
    const Deployment& next,
    std::uint64_t time_ms) const {
  const std::uint32_t max_permille =
      m_document->m_shift.m_max_permille_per_minute;
  std::uint32_t moved_permille = config::MovedPermille(*m_document, next);
  if (moved_permille == 0)
    return std::nullopt;
  for (const HistoryEntry& entry : m_history) {
    if (entry.m_time + kShiftWindowMs > time_ms)
      moved_permille += entry.m_moved_permille;
  }
  if (moved_permille <= max_permille)
    return std::nullopt;
  return "$.blocks: found " + std::to_string(moved_permille) +
         " permille of the callers of a region moved to other regions within "
         "one minute, expected at most " +
         std::to_string(max_permille) +
         " ($.shift.max_permille_per_minute of the document in force); split "
         "the move into several documents, or drain the region";
}

ApplyAnswer Configuration::BaseConflictAnswer() const {
  return {.m_outcome = ApplyOutcome::kConflict,
          .m_accepted = m_history.empty() ? HistoryEntry{} : m_history.back()};
}

ApplyAnswer Configuration::Apply(const ApplyCommand& command,
                                 std::uint64_t index,
                                 std::uint64_t time_ms) {
  const auto earlier_answer =
      AnswerFromHistory(command.m_deployment.m_number, command.m_digest);
  if (earlier_answer)
    return *earlier_answer;
  if (command.m_base_number && *command.m_base_number != m_document->m_number)
    return BaseConflictAnswer();
  if (command.m_base_index != m_document_index)
    return {.m_outcome = ApplyOutcome::kBaseChanged};
  Deployment document = command.m_deployment;
  document.m_blocks = config::MergeBlocks(
      m_document->m_blocks,
      {.m_upserted = command.m_upserted, .m_removed = command.m_removed});
  if (config::DigestOfCanonicalDeployment(document) != command.m_digest) {
    return {.m_outcome = ApplyOutcome::kInvalid,
            .m_problems = {"the digest does not match the document"}};
  }
  const std::optional<std::string> problem = ShiftLimitError(document, time_ms);
  if (problem)
    return {.m_outcome = ApplyOutcome::kInvalid, .m_problems = {*problem}};
  const std::uint32_t moved_permille =
      config::MovedPermille(*m_document, document);
  m_document = std::make_shared<const Deployment>(std::move(document));
  m_document_index = index;
  m_feed_index = index;
  std::erase_if(m_drains, [&](const jujube::Drain& drain) {
    return !HasDrainTarget(*m_document, drain);
  });
  if (m_history.size() >= kMaxHistoryEntries)
    m_history.erase(m_history.begin());
  m_history.push_back({.m_number = m_document->m_number,
                       .m_index = index,
                       .m_digest = Hex(command.m_digest),
                       .m_operator_name = command.m_operator_name,
                       .m_time = time_ms,
                       .m_moved_permille = moved_permille});
  return {.m_outcome = ApplyOutcome::kAccepted, .m_accepted = m_history.back()};
}

DrainAnswer Configuration::Drain(const DrainCommand& command,
                                 std::uint64_t index) {
  const auto it = std::ranges::lower_bound(m_drains, command.m_drain);
  const bool was_active = it != m_drains.end() && *it == command.m_drain;
  if (was_active == command.m_active) {
    // Clearing a drain of an unknown name is refused; otherwise a typing error
    // would go unnoticed.
    const bool exists =
        was_active || HasDrainTarget(*m_document, command.m_drain);
    return {.m_outcome =
                exists ? DrainOutcome::kUnchanged : DrainOutcome::kUnknownName,
            .m_index = m_feed_index};
  }
  if (command.m_active) {
    if (!HasDrainTarget(*m_document, command.m_drain))
      return {.m_outcome = DrainOutcome::kUnknownName, .m_index = m_feed_index};
    if (m_drains.size() >= kMaxDrains)
      return {.m_outcome = DrainOutcome::kTooMany, .m_index = m_feed_index};
    m_drains.insert(it, command.m_drain);
  } else {
    m_drains.erase(it);
  }
  m_feed_index = index;
  return {.m_outcome = DrainOutcome::kChanged, .m_index = index};
}

ShiftAnswer Configuration::Shift(const ShiftCommand& command,
                                 std::uint64_t index) {
  if (command.m_feed_index != m_feed_index || command.m_state == m_shift)
    return {};
  m_shift = command.m_state;
  m_feed_index = index;
  return {.m_changed = true};
}

bool Configuration::HasEntryHost(const HostId& host) const {
  return ContainsName(m_document->m_entry_hosts, host.m_value);
}

}  // namespace jujube::control
