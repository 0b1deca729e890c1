#include "membership/registry.h"

#include <algorithm>
#include <chrono>
#include <tuple>
#include <utility>

namespace jujube::membership {
namespace {

// Limits of RegistryDelta in schema/membership.json; the byte limit leaves 4
// KiB for the frame.
constexpr std::size_t kMaxDeltaEntries = 4096;
constexpr std::size_t kMaxDeltaBytes = 1048576 - 4096;

// Upper bound of the encoded size of an entry without its strings.
constexpr std::size_t kEntryFixedBytes = 128;

std::size_t MaxEncodedBytes(const Announcement& announcement) {
  return kEntryFixedBytes + announcement.m_service.m_value.size() +
         announcement.m_instance.m_value.size() +
         announcement.m_endpoint.m_address.size() +
         announcement.m_availability_zone.m_value.size();
}

// Leaving is final for an incarnation, so it precedes all other states of the
// incarnation regardless of the sequence: a control host derives the sequence
// of a leave from the last announcement that it knows, and others may know a
// later one.
bool IsNewer(const Announcement& a, const Announcement& b) {
  const bool is_a_leaving = a.m_state == UpstreamState::kLeaving;
  const bool is_b_leaving = b.m_state == UpstreamState::kLeaving;
  return std::tie(a.m_incarnation, is_a_leaving, a.m_sequence) >
         std::tie(b.m_incarnation, is_b_leaving, b.m_sequence);
}

// A larger increase of the cold time means that the instance became cold again.
constexpr std::chrono::milliseconds kMaxColdTimeIncrease{500};

// True if an announcement only renews the lease of the previous one of the same
// incarnation. Uptime, load report and a decreasing cold time are not compared,
// because they normally change with each announcement.
bool IsLeaseRenewal(const Announcement& current, const Announcement& previous) {
  return current.m_state == previous.m_state &&
         current.m_endpoint == previous.m_endpoint &&
         current.m_availability_zone == previous.m_availability_zone &&
         current.m_slots == previous.m_slots &&
         current.m_connections == previous.m_connections &&
         current.m_cold_for <= previous.m_cold_for + kMaxColdTimeIncrease;
}

// Received durations are clamped to this maximum before arithmetic, so that a
// malicious value cannot cause an overflow.
constexpr std::chrono::milliseconds kMaxDuration = std::chrono::hours(24);

std::chrono::milliseconds ClampDuration(std::chrono::milliseconds duration) {
  return std::clamp(duration, std::chrono::milliseconds(0), kMaxDuration);
}

}  // namespace

std::string_view ToString(MergeOutcome outcome) {
  switch (outcome) {
    case MergeOutcome::kAppeared:
      return "appeared";
    case MergeOutcome::kRefreshed:
      return "refreshed";
    case MergeOutcome::kLeft:
      return "left";
    case MergeOutcome::kOlder:
      return "older";
    case MergeOutcome::kTooLate:
      return "too_late";
    case MergeOutcome::kFinal:
      return "final";
    case MergeOutcome::kFull:
      return "full";
  }
  return "unknown";
}

MergeOutcome Registry::Merge(const RegistryEntry& entry, MonoTime received) {
  const Announcement& announcement = entry.m_announcement;
  const bool is_leaving = announcement.m_state == UpstreamState::kLeaving;
  const auto found = m_records.find(KeyOf(announcement));
  if (found != m_records.end()) {
    const Announcement& stored = found->second.m_member.m_announcement;
    const bool is_final = stored.m_state == UpstreamState::kLeaving &&
                          !is_leaving &&
                          stored.m_incarnation == announcement.m_incarnation;
    if (!IsNewer(announcement, stored)) {
      const bool is_later = announcement.m_sequence > stored.m_sequence;
      return is_final && is_later ? MergeOutcome::kFinal : MergeOutcome::kOlder;
    }
  }
  if (!is_leaving && ClampDuration(entry.m_age) >= m_limits.m_lease_duration)
    return MergeOutcome::kTooLate;
  if (found != m_records.end())
    return Store(found->second, entry, received);
  if (m_records.size() >= m_limits.m_max_instances)
    return MergeOutcome::kFull;
  return Store(m_records[KeyOf(announcement)], entry, received);
}

MergeOutcome Registry::Store(Record& record,
                             const RegistryEntry& entry,
                             MonoTime now) {
  const Announcement& announcement = entry.m_announcement;
  const Announcement& stored = record.m_member.m_announcement;
  const bool is_new = !record.m_is_present ||
                      stored.m_incarnation != announcement.m_incarnation;
  const bool was_leaving = stored.m_state == UpstreamState::kLeaving;
  const MonoTime sent = now - ClampDuration(entry.m_age);
  const MonoTime expires = sent + m_limits.m_lease_duration;
  const bool has_report = announcement.m_in_progress.has_value();
  const bool keeps_report =
      !has_report && stored.m_incarnation == announcement.m_incarnation;
  const bool is_renewal = !is_new && IsLeaseRenewal(announcement, stored);
  const bool keeps_version = is_renewal && !m_limits.m_relays_refreshes;
  if (!keeps_version)
    m_keys_by_version.erase(record.m_version);
  record = {
      .m_member = {.m_announcement = announcement,
                   .m_sent_at = sent,
                   .m_expires = expires,
                   .m_serving_since =
                       sent - ClampDuration(announcement.m_uptime),
                   .m_cold_until =
                       sent + ClampDuration(announcement.m_cold_for),
                   .m_reported_in_progress =
                       keeps_report ? record.m_member.m_reported_in_progress
                                    : announcement.m_in_progress,
                   .m_reported_at =
                       keeps_report ? record.m_member.m_reported_at : sent},
      .m_version = keeps_version ? record.m_version : ++m_version,
      .m_is_present = now < expires};
  if (!keeps_version)
    m_keys_by_version.emplace(m_version, KeyOf(announcement));
  if (announcement.m_state == UpstreamState::kLeaving)
    return was_leaving && !is_new ? MergeOutcome::kRefreshed
                                  : MergeOutcome::kLeft;
  return is_new ? MergeOutcome::kAppeared : MergeOutcome::kRefreshed;
}

std::vector<InstanceKey> Registry::Expire(MonoTime now) {
  std::vector<InstanceKey> expired;
  for (auto it = m_records.begin(); it != m_records.end();) {
    Record& record = it->second;
    if (record.m_is_present && now >= record.m_member.m_expires) {
      record.m_is_present = false;
      expired.push_back(it->first);
    }
    if (!record.m_is_present &&
        now >= record.m_member.m_expires + m_limits.m_expired_retention) {
      m_keys_by_version.erase(record.m_version);
      it = m_records.erase(it);
    } else {
      ++it;
    }
  }
  if (!expired.empty())
    ++m_version;
  return expired;
}

DeltaPage Registry::DeltaSince(std::uint64_t since,
                               const HostId& host,
                               std::uint64_t incarnation,
                               MonoTime now) const {
  DeltaPage page{.m_delta = {.m_host = host,
                             .m_incarnation = incarnation,
                             .m_entries = {}},
                 .m_end_version = m_version,
                 .m_is_complete = true};
  std::size_t bytes = host.m_value.size();
  std::uint64_t last_version = since;
  for (auto it = m_keys_by_version.upper_bound(since);
       it != m_keys_by_version.end(); ++it) {
    const Record& record = m_records.at(it->second);
    const Announcement& announcement = record.m_member.m_announcement;
    const bool is_leaving = announcement.m_state == UpstreamState::kLeaving;
    if (is_leaving || now < record.m_member.m_expires) {
      bytes += MaxEncodedBytes(announcement);
      if (page.m_delta.m_entries.size() == kMaxDeltaEntries ||
          bytes > kMaxDeltaBytes) {
        page.m_end_version = last_version;
        page.m_is_complete = false;
        return page;
      }
      // Rounded up, because a smaller age would extend the lease.
      page.m_delta.m_entries.push_back(
          {.m_announcement = announcement,
           .m_age = std::chrono::ceil<std::chrono::milliseconds>(
               now - record.m_member.m_sent_at)});
    }
    last_version = it->first;
  }
  return page;
}

RegistrySnapshot Registry::Snapshot() const {
  RegistrySnapshot snapshot{.m_version = m_version, .m_members = {}};
  for (const auto& [key, record] : m_records) {
    if (record.m_is_present)
      snapshot.m_members.push_back(record.m_member);
  }
  return snapshot;
}

}  // namespace jujube::membership
