#include "membership/registry.h"

#include <algorithm>
#include <chrono>
#include <tuple>
#include <utility>

namespace jujube::membership {
namespace {

// Bounds of RegistryDelta in schema/membership.json, with room for the frame.
constexpr std::size_t kMaxDeltaEntries = 4096;
constexpr std::size_t kMaxDeltaBytes = 1048576 - 4096;

// Upper bound of the encoded numbers and length fields of an entry.
constexpr std::size_t kEntryFixedBytes = 128;

std::size_t EncodedBound(const Announcement& announcement) {
  return kEntryFixedBytes + announcement.m_service.m_value.size() +
         announcement.m_instance.m_value.size() +
         announcement.m_endpoint.m_address.size() +
         announcement.m_availability_zone.m_value.size();
}

bool IsNewer(const Announcement& a, const Announcement& b) {
  return std::tie(a.m_incarnation, a.m_sequence) >
         std::tie(b.m_incarnation, b.m_sequence);
}

// A cold time that grows by more means that the instance became cold again.
constexpr std::chrono::milliseconds kColdAgain{500};

// Whether two announcements of an incarnation differ only in what changes with
// time by itself.
bool IsSameButForTime(const Announcement& now, const Announcement& before) {
  return now.m_state == before.m_state && now.m_endpoint == before.m_endpoint &&
         now.m_availability_zone == before.m_availability_zone &&
         now.m_slots == before.m_slots &&
         now.m_connections == before.m_connections &&
         now.m_cold_for <= before.m_cold_for + kColdAgain;
}

// An age beyond this is cut before arithmetic, so that a hostile value cannot
// overflow a time.
constexpr std::chrono::milliseconds kMaxAge = std::chrono::hours(24);

std::chrono::milliseconds BoundedAge(std::chrono::milliseconds age) {
  return std::clamp(age, std::chrono::milliseconds(0), kMaxAge);
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
    const Announcement& known = found->second.m_member.m_announcement;
    if (!IsNewer(announcement, known))
      return MergeOutcome::kOlder;
    if (known.m_state == UpstreamState::kLeaving && !is_leaving &&
        known.m_incarnation == announcement.m_incarnation)
      return MergeOutcome::kFinal;
  }
  if (!is_leaving && BoundedAge(entry.m_age) >= m_limits.m_lease)
    return MergeOutcome::kTooLate;
  if (found != m_records.end())
    return Accept(found->second, entry, received);
  if (m_records.size() >= m_limits.m_max_instances)
    return MergeOutcome::kFull;
  return Accept(m_records[KeyOf(announcement)], entry, received);
}

MergeOutcome Registry::Accept(Record& record,
                              const RegistryEntry& entry,
                              MonoTime now) {
  const Announcement& announcement = entry.m_announcement;
  const Announcement& known = record.m_member.m_announcement;
  const bool is_new =
      !record.m_is_present || known.m_incarnation != announcement.m_incarnation;
  const bool was_leaving = known.m_state == UpstreamState::kLeaving;
  const MonoTime sent = now - BoundedAge(entry.m_age);
  const MonoTime expires = sent + m_limits.m_lease;
  const bool has_report = announcement.m_in_progress.has_value();
  const bool keeps_report =
      !has_report && known.m_incarnation == announcement.m_incarnation;
  const bool is_refresh = !is_new && IsSameButForTime(announcement, known);
  const bool keeps_version = is_refresh && !m_limits.m_relays_refreshes;
  if (!keeps_version)
    m_changes.erase(record.m_version);
  record = {
      .m_member = {.m_announcement = announcement,
                   .m_sent = sent,
                   .m_expires = expires,
                   .m_serving_since = sent - BoundedAge(announcement.m_uptime),
                   .m_cold_until = sent + BoundedAge(announcement.m_cold_for),
                   .m_reported_in_progress =
                       keeps_report ? record.m_member.m_reported_in_progress
                                    : announcement.m_in_progress,
                   .m_reported_at =
                       keeps_report ? record.m_member.m_reported_at : sent},
      .m_version = keeps_version ? record.m_version : ++m_version,
      .m_is_present = now < expires};
  if (!keeps_version)
    m_changes.emplace(m_version, KeyOf(announcement));
  if (announcement.m_state == UpstreamState::kLeaving)
    return was_leaving && !is_new ? MergeOutcome::kRefreshed
                                  : MergeOutcome::kLeft;
  return is_new ? MergeOutcome::kAppeared : MergeOutcome::kRefreshed;
}

std::vector<InstanceKey> Registry::Expire(MonoTime now) {
  std::vector<InstanceKey> removed;
  for (auto it = m_records.begin(); it != m_records.end();) {
    Record& record = it->second;
    if (record.m_is_present && now >= record.m_member.m_expires) {
      record.m_is_present = false;
      removed.push_back(it->first);
    }
    if (!record.m_is_present &&
        now >= record.m_member.m_expires + m_limits.m_memory) {
      m_changes.erase(record.m_version);
      it = m_records.erase(it);
    } else {
      ++it;
    }
  }
  if (!removed.empty())
    ++m_version;
  return removed;
}

DeltaPage Registry::DeltaSince(std::uint64_t since,
                               const HostId& host,
                               std::uint64_t incarnation,
                               MonoTime now) const {
  DeltaPage page{.m_delta = {.m_host = host,
                             .m_incarnation = incarnation,
                             .m_entries = {}},
                 .m_upto = m_version,
                 .m_is_complete = true};
  std::size_t bytes = host.m_value.size();
  std::uint64_t last = since;
  for (auto it = m_changes.upper_bound(since); it != m_changes.end(); ++it) {
    const Record& record = m_records.at(it->second);
    const Announcement& announcement = record.m_member.m_announcement;
    const bool is_leaving = announcement.m_state == UpstreamState::kLeaving;
    if (is_leaving || now < record.m_member.m_expires) {
      bytes += EncodedBound(announcement);
      if (page.m_delta.m_entries.size() == kMaxDeltaEntries ||
          bytes > kMaxDeltaBytes) {
        page.m_upto = last;
        page.m_is_complete = false;
        return page;
      }
      // Rounded up: an age that is too small would extend the lease.
      page.m_delta.m_entries.push_back(
          {.m_announcement = announcement,
           .m_age = std::chrono::ceil<std::chrono::milliseconds>(
               now - record.m_member.m_sent)});
    }
    last = it->first;
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
