#include "control/configuration.h"

#include <algorithm>
#include <utility>

#include "config/difference.h"
#include "config/digest.h"
#include "core/hash.h"

namespace jujube::control {

namespace {

// Bound of FeedChange.drains in the schema.
constexpr std::size_t kMaxDrains = 4096;
constexpr std::uint64_t kShiftWindowMs = 60000;

template <class Object>
bool HasName(const std::vector<Object>& objects, const std::string& name) {
  return std::ranges::any_of(objects, [&](const Object& object) {
    return object.m_name.m_value == name;
  });
}

bool Exists(const Deployment& document, const Drain& drain) {
  switch (drain.m_kind) {
    case DrainKind::kInstance: {
      const std::size_t slash = drain.m_name.find('/');
      return slash != std::string::npos && slash + 1 < drain.m_name.size() &&
             HasName(document.m_services, drain.m_name.substr(0, slash));
    }
    case DrainKind::kEntryHost:
      return HasName(document.m_entry_hosts, drain.m_name);
    case DrainKind::kAvailabilityZone:
      return HasName(document.m_availability_zones, drain.m_name);
    case DrainKind::kRegion:
      return HasName(document.m_regions, drain.m_name);
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

std::optional<ApplyAnswer> Configuration::Recall(
    std::uint64_t number,
    const std::string& digest) const {
  const auto same =
      std::ranges::find(m_history, number, &HistoryEntry::m_number);
  if (same != m_history.end()) {
    const bool resent = same->m_digest == Hex(digest);
    return ApplyAnswer{
        .m_outcome = resent ? ApplyOutcome::kAccepted : ApplyOutcome::kConflict,
        .m_accepted = *same};
  }
  if (number <= m_document->m_number) {
    return ApplyAnswer{
        .m_outcome = ApplyOutcome::kNumberTooLow,
        .m_accepted = m_history.empty() ? HistoryEntry{} : m_history.back()};
  }
  return std::nullopt;
}

std::optional<std::string> Configuration::ShiftProblem(
    const Deployment& next,
    std::uint64_t time) const {
  const std::uint32_t cap = m_document->m_shift.m_max_permille_per_minute;
  std::uint32_t moved = config::MovedPermille(*m_document, next);
  if (moved == 0)
    return std::nullopt;
  for (const HistoryEntry& entry : m_history) {
    if (entry.m_time + kShiftWindowMs > time)
      moved += entry.m_moved_permille;
  }
  if (moved <= cap)
    return std::nullopt;
  return "$.blocks: found " + std::to_string(moved) +
         " permille of the callers of a region moved to other regions within a "
         "minute, allowed is " +
         std::to_string(cap) +
         " ($.shift.max_permille_per_minute of the document in force); move "
         "them in several documents, or drain the region";
}

ApplyAnswer Configuration::OtherBase() const {
  return {.m_outcome = ApplyOutcome::kConflict,
          .m_accepted = m_history.empty() ? HistoryEntry{} : m_history.back()};
}

ApplyAnswer Configuration::Apply(const ApplyCommand& command,
                                 std::uint64_t index,
                                 std::uint64_t time) {
  const auto known = Recall(command.m_deployment.m_number, command.m_digest);
  if (known)
    return *known;
  if (command.m_base_number && *command.m_base_number != m_document->m_number)
    return OtherBase();
  if (command.m_base_index != m_document_index)
    return {.m_outcome = ApplyOutcome::kBaseChanged};
  Deployment document = command.m_deployment;
  document.m_blocks = config::MergeBlocks(
      m_document->m_blocks,
      {.m_upserted = command.m_upserted, .m_removed = command.m_removed});
  if (config::DigestOfCanonical(document) != command.m_digest) {
    return {.m_outcome = ApplyOutcome::kInvalid,
            .m_problems = {"the digest does not match the document"}};
  }
  const std::optional<std::string> problem = ShiftProblem(document, time);
  if (problem)
    return {.m_outcome = ApplyOutcome::kInvalid, .m_problems = {*problem}};
  const std::uint32_t moved = config::MovedPermille(*m_document, document);
  m_document = std::make_shared<const Deployment>(std::move(document));
  m_document_index = index;
  m_feed_index = index;
  std::erase_if(m_drains, [&](const jujube::Drain& drain) {
    return !Exists(*m_document, drain);
  });
  if (m_history.size() >= kMaxHistory)
    m_history.erase(m_history.begin());
  m_history.push_back({.m_number = m_document->m_number,
                       .m_index = index,
                       .m_digest = Hex(command.m_digest),
                       .m_operator_name = command.m_operator_name,
                       .m_time = time,
                       .m_moved_permille = moved});
  return {.m_outcome = ApplyOutcome::kAccepted, .m_accepted = m_history.back()};
}

DrainAnswer Configuration::Drain(const DrainCommand& command,
                                 std::uint64_t index) {
  const auto at = std::ranges::lower_bound(m_drains, command.m_drain);
  const bool active = at != m_drains.end() && *at == command.m_drain;
  if (active == command.m_active) {
    // Resuming what never existed is refused; a typing error would go unseen.
    const bool exists = active || Exists(*m_document, command.m_drain);
    return {.m_outcome =
                exists ? DrainOutcome::kUnchanged : DrainOutcome::kUnknownName,
            .m_index = m_feed_index};
  }
  if (command.m_active) {
    if (!Exists(*m_document, command.m_drain))
      return {.m_outcome = DrainOutcome::kUnknownName, .m_index = m_feed_index};
    if (m_drains.size() >= kMaxDrains)
      return {.m_outcome = DrainOutcome::kTooMany, .m_index = m_feed_index};
    m_drains.insert(at, command.m_drain);
  } else {
    m_drains.erase(at);
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
  return HasName(m_document->m_entry_hosts, host.m_value);
}

}  // namespace jujube::control
