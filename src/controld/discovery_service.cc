#include "controld/discovery_service.h"

#include <algorithm>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "controld/instance_silence.h"
#include "membership/known_sender.h"
#include "observe/log.h"

namespace jujube::controld {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);

// Changes that need no confirmation are batched over this interval, so they are
// delayed by half of it on average.
constexpr milliseconds kTickInterval{50};

// Three messages of an entry host at its interval of 500 ms, and a margin. A
// host that is silent for longer gets no callers, and its confirmation is not
// required for the leave of an upstream.
constexpr milliseconds kEntryHostTimeout{1700};

// Entry hosts ask every 500 ms, so a statement is rarely older than that.
constexpr milliseconds kLeaseInterval{250};
// An older confirmation is useless to entry hosts.
constexpr milliseconds kMaxLeaseConfirmationAge{2000};

// An entry host that is silent for longer is removed.
constexpr milliseconds kEntryHostRetention{60000};

membership::RegistryLimits MakeRegistryLimits() {
  // The leader detects silent instances, so leases never expire here.
  return {.m_lease_duration = std::chrono::hours(24 * 365),
          .m_relays_refreshes = false};
}

bool IsLeaving(const Announcement& announcement) {
  return announcement.m_state == UpstreamState::kLeaving;
}

}  // namespace

DiscoveryService::DiscoveryService(asio::io_context& io,
                                   const net::FrameOptions& frames,
                                   DiscoveryOptions options)
    : m_io(io),
      m_frames(frames),
      m_options(std::move(options)),
      m_registry(MakeRegistryLimits()),
      m_control_peers(io, frames, m_options.m_host, m_registry, {}),
      m_confirmation_timer(io) {}

void DiscoveryService::RegisterHandlers(net::FrameDispatch* handlers) {
  handlers->On<RegistryDelta>(
      [this](const net::FrameSource& source, const RegistryDelta& delta) {
        OnDelta(source, delta);
      });
}

void DiscoveryService::Start() {
  m_control_peers.Start();
  asio::co_spawn(m_io, TickLoop(), asio::detached);
  asio::co_spawn(m_io, LeaseLoop(), asio::detached);
}

void DiscoveryService::Stop() {
  m_is_stopped = true;
  m_control_peers.Stop();
  m_confirmation_timer.cancel();
}

void DiscoveryService::SetControlHosts(const std::vector<Endpoint>& endpoints,
                                       const Endpoint& self) {
  if (endpoints == m_control_hosts)
    return;
  m_control_hosts = endpoints;
  ++m_host_lists_version;
  std::vector<Endpoint> others = endpoints;
  std::erase(others, self);
  m_control_peers.SetPeers(others);
}

void DiscoveryService::ReopenControlPeer(const Endpoint& endpoint) {
  m_control_peers.Reopen(endpoint);
}

void DiscoveryService::SetLeading(bool is_leading) {
  if (!is_leading)
    m_leading_since.reset();
  else if (!m_leading_since)
    m_leading_since = MonoClock::now();
}

void DiscoveryService::SetFeedIndex(std::uint64_t index) {
  if (std::exchange(m_feed_index, index) != index)
    PushToAll();
}

// ---- Upstreams -------------------------------------------------------------

std::uint64_t DiscoveryService::MergeAnnouncement(
    const Announcement& announcement) {
  const RegistryEntry entry{.m_announcement = announcement};
  const std::uint64_t old_version = m_registry.Version();
  const membership::MergeOutcome outcome =
      m_registry.Merge(entry, MonoClock::now());
  if (outcome == membership::MergeOutcome::kAppeared ||
      outcome == membership::MergeOutcome::kLeft) {
    observe::Log(IsLeaving(announcement) ? LogEvent::kInstanceLeaving
                                         : LogEvent::kInstanceAppeared,
                 {{"service", announcement.m_service.m_value},
                  {"instance", announcement.m_instance.m_value},
                  {"incarnation", announcement.m_incarnation},
                  {"sequence", announcement.m_sequence}});
  }
  // Only the leader uses renewals of leases, so it need not relay them.
  const bool is_renewal_at_leader =
      m_leading_since && m_registry.Version() == old_version;
  if (membership::IsChange(outcome) && !is_renewal_at_leader)
    m_control_peers.Relay(entry);
  if (IsLeaving(announcement))
    PushToAll();
  return m_registry.Version();
}

std::optional<Announcement> DiscoveryService::FindAnnouncement(
    const InstanceId& instance) const {
  for (const membership::Member& member : m_registry.Snapshot().m_members) {
    if (member.m_announcement.m_instance == instance)
      return member.m_announcement;
  }
  return std::nullopt;
}

void DiscoveryService::MarkSilentInstances(MonoTime now) {
  if (!m_leading_since)
    return;
  for (const membership::Member& member : m_registry.Snapshot().m_members) {
    Announcement announcement = member.m_announcement;
    const InstanceContact contact{
        .m_sent_at = member.m_sent_at,
        .m_leading_since = *m_leading_since,
        .m_announcement_interval = m_options.m_announcement_interval};
    if (announcement.m_state != UpstreamState::kServing ||
        !IsSilent(contact, now))
      continue;
    observe::Log(LogEvent::kInstanceSilent,
                 {{"service", announcement.m_service.m_value},
                  {"instance", announcement.m_instance.m_value},
                  {"silent_ms", std::chrono::duration_cast<milliseconds>(
                                    now - member.m_sent_at)}});
    // kStarting keeps callers away. An announcement of the same incarnation
    // overrides this only if its sequence exceeds the one set here; an instance
    // that counts by one and sent nothing since needs two.
    announcement.m_state = UpstreamState::kStarting;
    ++announcement.m_sequence;
    MergeAnnouncement(announcement);
  }
}

// ---- Entry hosts -----------------------------------------------------------

void DiscoveryService::OnDelta(const net::FrameSource& source,
                               const RegistryDelta& delta) {
  const MonoTime now = MonoClock::now();
  const std::uint64_t old_version = m_registry.Version();
  for (const RegistryEntry& entry : delta.m_entries)
    m_registry.Merge(entry, now);
  if (delta.m_presence)
    OnEntryHost(source, delta);
  else if (m_registry.Version() != old_version)
    PushToAll();
}

void DiscoveryService::OnEntryHost(const net::FrameSource& source,
                                   const RegistryDelta& delta) {
  const MonoTime now = MonoClock::now();
  if (!m_subscribers.contains(delta.m_host))
    ++m_host_lists_version;
  Subscriber& subscriber = m_subscribers[delta.m_host];
  const auto connection = source.m_connection.lock();
  const bool is_same_connection =
      subscriber.m_incarnation == delta.m_incarnation &&
      !subscriber.m_connection.expired() &&
      subscriber.m_connection.lock() == connection;
  if (membership::IsFromEarlierProcess(
          {.m_incarnation = subscriber.m_incarnation,
           .m_last_received = subscriber.m_last_received,
           .m_silence = kEntryHostTimeout},
          delta.m_incarnation, now))
    return;
  const bool was_ready = subscriber.m_presence.m_ready;
  if (!is_same_connection)
    subscriber = {.m_incarnation = delta.m_incarnation,
                  .m_connection = source.m_connection};
  if (!is_same_connection || was_ready != delta.m_presence->m_ready ||
      subscriber.m_is_leaving != delta.m_leaving) {
    observe::Log(LogEvent::kEntryHostAppeared,
                 {{"host", delta.m_host.m_value},
                  {"incarnation", delta.m_incarnation},
                  {"ready", delta.m_presence->m_ready},
                  {"leaving", delta.m_leaving}});
  }
  subscriber.m_clock = delta.m_clock;
  subscriber.m_presence = *delta.m_presence;
  subscriber.m_is_leaving = delta.m_leaving;
  subscriber.m_merged_version = delta.m_merged;
  subscriber.m_received_version = delta.m_version;
  subscriber.m_last_received = now;
  m_confirmation_timer.cancel();
  // Every message is answered, so that the entry host can detect a dead
  // connection. It responds only to a version that is new to it, so the
  // exchange ends.
  PushTo(subscriber, now);
}

bool DiscoveryService::IsLive(const Subscriber& subscriber,
                              MonoTime now) const {
  return now - subscriber.m_last_received < kEntryHostTimeout;
}

std::vector<HostId> DiscoveryService::LeavingEntryHosts() const {
  std::vector<HostId> hosts;
  for (const auto& [host, subscriber] : m_subscribers) {
    if (subscriber.m_is_leaving)
      hosts.push_back(host);
  }
  return hosts;
}

void DiscoveryService::PushTo(Subscriber& subscriber, MonoTime now) {
  const auto connection = subscriber.m_connection.lock();
  if (!connection)
    return;
  membership::DeltaPage page = m_registry.DeltaSince(
      subscriber.m_sent_version, m_options.m_host, m_frames.m_incarnation, now);
  page.m_delta.m_version = page.m_end_version;
  page.m_delta.m_merged = subscriber.m_received_version;
  page.m_delta.m_omitted = LeavingEntryHosts();
  page.m_delta.m_feed_index = m_feed_index;
  page.m_delta.m_lease = MakeLease(subscriber, now);
  page.m_delta.m_entry_host_states =
      m_entry_host_log.ChangedSince(subscriber.m_sent_states_version);
  if (subscriber.m_sent_host_lists_version != m_host_lists_version) {
    page.m_delta.m_control_hosts = m_control_hosts;
    for (const auto& [host, other_subscriber] : m_subscribers)
      page.m_delta.m_entry_hosts.push_back(host);
  }
  if (!connection->Send(page.m_delta))
    return;
  subscriber.m_sent_version = page.m_end_version;
  subscriber.m_sent_host_lists_version = m_host_lists_version;
  subscriber.m_sent_states_version = m_entry_host_log.Version();
}

void DiscoveryService::PushToAll() {
  const MonoTime now = MonoClock::now();
  m_pushed_version = m_registry.Version();
  m_pushed_states_version = m_entry_host_log.Version();
  for (auto& [host, subscriber] : m_subscribers)
    PushTo(subscriber, now);
}

bool DiscoveryService::HaveAllMerged(std::uint64_t version,
                                     MonoTime now) const {
  return std::all_of(m_subscribers.begin(), m_subscribers.end(),
                     [&](const auto& element) {
                       return !IsLive(element.second, now) ||
                              element.second.m_merged_version >= version;
                     });
}

void DiscoveryService::UpdateQuorumContact(MonoTime now) {
  m_quorum_contact = UpdateContact(
      m_quorum_contact, {.m_state_age = m_options.m_state_age(), .m_now = now});
}

void DiscoveryService::RecordEntryHostStates(MonoTime now) {
  for (const auto& [host, subscriber] : m_subscribers) {
    m_entry_host_log.Record({.m_host = host,
                             .m_incarnation = subscriber.m_incarnation,
                             .m_presence = subscriber.m_presence,
                             .m_leaving = subscriber.m_is_leaving,
                             .m_live = IsLive(subscriber, now)});
  }
}

asio::awaitable<bool> DiscoveryService::WaitUntilMerged(std::uint64_t version,
                                                        MonoTime deadline) {
  while (!m_is_stopped) {
    const MonoTime now = MonoClock::now();
    UpdateQuorumContact(now);
    if (HearsEntryHosts(m_quorum_contact, now) && HaveAllMerged(version, now))
      co_return true;
    if (HearsEntryHostsFrom(m_quorum_contact) > deadline)
      co_return false;
    if (now >= deadline)
      break;
    // All waiters share the timer: a cancellation or a new expiry wakes each of
    // them to check again.
    m_confirmation_timer.expires_after(
        std::min<MonoClock::duration>(deadline - now, kTickInterval));
    co_await m_confirmation_timer.async_wait(kTuple);
  }
  for (const auto& [host, subscriber] : m_subscribers) {
    if (IsLive(subscriber, MonoClock::now()) &&
        subscriber.m_merged_version < version)
      observe::Log(LogEvent::kLeaveNotConfirmed, {{"host", host.m_value}});
  }
  co_return false;
}

EntryHostCount DiscoveryService::CountEntryHosts(MonoTime now) const {
  EntryHostCount count{.m_known = m_subscribers.size()};
  for (const auto& [host, subscriber] : m_subscribers)
    count.m_live += IsLive(subscriber, now) ? 1 : 0;
  return count;
}

std::vector<ReadyEntryHost> DiscoveryService::ReadyEntryHosts(
    MonoTime now) const {
  std::vector<ReadyEntryHost> hosts;
  for (const auto& [host, subscriber] : m_subscribers) {
    if (IsLive(subscriber, now) && subscriber.m_presence.m_ready &&
        !subscriber.m_is_leaving) {
      hosts.push_back({.m_host = host,
                       .m_zone = subscriber.m_presence.m_availability_zone,
                       .m_caller = subscriber.m_presence.m_caller});
    }
  }
  return hosts;
}

AvailabilityZoneId DiscoveryService::ZoneOf(const HostId& host) const {
  const auto subscriber = m_subscribers.find(host);
  return subscriber != m_subscribers.end()
             ? subscriber->second.m_presence.m_availability_zone
             : AvailabilityZoneId{};
}

// ---- Leases ----------------------------------------------------------------

// The barrier confirms what was committed before its start, whatever the delay
// of the replies, so the age of a statement counts from there.
asio::awaitable<void> DiscoveryService::LeaseLoop() {
  asio::steady_timer timer(m_io);
  while (!m_is_stopped) {
    if (m_leading_since && m_options.m_has_tenants()) {
      const MonoTime started_at = MonoClock::now();
      if (co_await m_options.m_read_barrier()) {
        m_lease_confirmation = LeaseConfirmation{.m_confirmed_at = started_at,
                                                 .m_feed_index = m_feed_index};
      }
    }
    timer.expires_after(kLeaseInterval);
    co_await timer.async_wait(kTuple);
  }
}

std::optional<MonoTime> DiscoveryService::ConfirmedAt() const {
  return m_lease_confirmation
             ? std::optional(m_lease_confirmation->m_confirmed_at)
             : std::nullopt;
}

std::optional<ConfigLease> DiscoveryService::MakeLease(
    const Subscriber& subscriber,
    MonoTime now) const {
  const bool is_usable =
      m_leading_since && m_lease_confirmation &&
      now - m_lease_confirmation->m_confirmed_at < kMaxLeaseConfirmationAge;
  if (!is_usable)
    return std::nullopt;
  return ConfigLease{.m_echoed_clock = subscriber.m_clock,
                     .m_age = std::chrono::ceil<milliseconds>(
                         now - m_lease_confirmation->m_confirmed_at),
                     .m_feed_index = m_lease_confirmation->m_feed_index};
}

// ---- Ticks -----------------------------------------------------------------

asio::awaitable<void> DiscoveryService::TickLoop() {
  asio::steady_timer timer(m_io);
  while (!m_is_stopped) {
    const MonoTime now = MonoClock::now();
    UpdateQuorumContact(now);
    MarkSilentInstances(now);
    RecordEntryHostStates(now);
    if (m_registry.Version() != m_pushed_version ||
        m_entry_host_log.Version() != m_pushed_states_version)
      PushToAll();
    const std::size_t removed =
        std::erase_if(m_subscribers, [&](const auto& element) {
          const bool is_removed =
              now - element.second.m_last_received > kEntryHostRetention;
          if (is_removed)
            m_entry_host_log.Remove(element.first);
          return is_removed;
        });
    if (removed > 0)
      ++m_host_lists_version;
    timer.expires_after(kTickInterval);
    co_await timer.async_wait(kTuple);
  }
}

}  // namespace jujube::controld
