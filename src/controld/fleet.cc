#include "controld/fleet.h"

#include <algorithm>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "observe/log.h"

namespace jujube::controld {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);

// Changes that need no confirmation share a push; half of it is their mean
// delay.
constexpr milliseconds kTick{50};

// Three messages of an entry host at its interval of 500 ms. A host that is
// silent for longer gets no callers, and no upstream waits for it.
constexpr milliseconds kEntryHostSilence{1700};

// Announcements that may be lost in a row before an upstream counts as gone. A
// connection that fails tells entry hosts much earlier.
constexpr int kMissedAnnouncements = 4;

// An entry host that is gone for so long is forgotten.
constexpr milliseconds kEntryHostMemory{60000};

membership::RegistryLimits MakeRegistryLimits() {
  // The leader says when an instance is gone, so leases do not run out.
  return {.m_lease = std::chrono::hours(24 * 365), .m_relays_refreshes = false};
}

bool IsLeaving(const Announcement& announcement) {
  return announcement.m_state == UpstreamState::kLeaving;
}

}  // namespace

Fleet::Fleet(asio::io_context& io,
             const net::FrameOptions& frames,
             FleetOptions options)
    : m_io(io),
      m_frames(frames),
      m_options(std::move(options)),
      m_registry(MakeRegistryLimits()),
      m_control_peers(io, frames, m_options.m_host, m_registry, {}),
      m_merged_signal(io) {}

void Fleet::Register(net::FrameDispatch* handlers) {
  handlers->On<RegistryDelta>(
      [this](const net::FrameSource& source, const RegistryDelta& delta) {
        OnDelta(source, delta);
      });
}

void Fleet::Start() {
  m_control_peers.Start();
  asio::co_spawn(m_io, TickLoop(), asio::detached);
}

void Fleet::Stop() {
  m_is_stopped = true;
  m_control_peers.Stop();
  m_merged_signal.cancel();
}

void Fleet::SetControlHosts(const std::vector<Endpoint>& endpoints,
                            const Endpoint& own) {
  if (endpoints == m_control_hosts)
    return;
  m_control_hosts = endpoints;
  ++m_lists_version;
  std::vector<Endpoint> others = endpoints;
  std::erase(others, own);
  m_control_peers.SetPeers(others);
}

void Fleet::SetLeading(bool is_leading) {
  if (!is_leading)
    m_leading_since.reset();
  else if (!m_leading_since)
    m_leading_since = MonoClock::now();
}

void Fleet::SetFeedIndex(std::uint64_t index) {
  if (std::exchange(m_feed_index, index) != index)
    PushToAll();
}

// ---- Upstreams -------------------------------------------------------------

std::uint64_t Fleet::Announce(const Announcement& announcement) {
  const RegistryEntry entry{.m_announcement = announcement};
  const std::uint64_t before = m_registry.Version();
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
  // The leader watches the leases, so it alone keeps their renewals to itself.
  const bool is_known_to_leader =
      m_leading_since && m_registry.Version() == before;
  if (membership::IsChange(outcome) && !is_known_to_leader)
    m_control_peers.Relay(entry);
  if (IsLeaving(announcement))
    PushToAll();
  return m_registry.Version();
}

std::optional<Announcement> Fleet::Find(const InstanceId& instance) const {
  for (const membership::Member& member : m_registry.Snapshot().m_members) {
    if (member.m_announcement.m_instance == instance)
      return member.m_announcement;
  }
  return std::nullopt;
}

void Fleet::MarkSilentInstances(MonoTime now) {
  const auto silence = kMissedAnnouncements * m_options.m_announcement_interval;
  if (!m_leading_since || now - *m_leading_since < silence)
    return;
  for (const membership::Member& member : m_registry.Snapshot().m_members) {
    Announcement announcement = member.m_announcement;
    if (announcement.m_state != UpstreamState::kServing ||
        now - member.m_sent < silence)
      continue;
    observe::Log(LogEvent::kInstanceSilent,
                 {{"service", announcement.m_service.m_value},
                  {"instance", announcement.m_instance.m_value},
                  {"silent_ms", std::chrono::duration_cast<milliseconds>(
                                    now - member.m_sent)}});
    // The next announcement of the instance has a higher sequence and brings
    // it back.
    announcement.m_state = UpstreamState::kStarting;
    ++announcement.m_sequence;
    Announce(announcement);
  }
}

// ---- Entry hosts -----------------------------------------------------------

void Fleet::OnDelta(const net::FrameSource& source,
                    const RegistryDelta& delta) {
  const MonoTime now = MonoClock::now();
  const std::uint64_t before = m_registry.Version();
  for (const RegistryEntry& entry : delta.m_entries)
    m_registry.Merge(entry, now);
  if (delta.m_presence)
    OnEntryHost(source, delta);
  else if (m_registry.Version() != before)
    PushToAll();
}

void Fleet::OnEntryHost(const net::FrameSource& source,
                        const RegistryDelta& delta) {
  const MonoTime now = MonoClock::now();
  if (!m_subscribers.contains(delta.m_host))
    ++m_lists_version;
  Subscriber& subscriber = m_subscribers[delta.m_host];
  const auto connection = source.m_connection.lock();
  const bool is_same = subscriber.m_incarnation == delta.m_incarnation &&
                       !subscriber.m_connection.expired() &&
                       subscriber.m_connection.lock() == connection;
  if (delta.m_incarnation < subscriber.m_incarnation)
    return;
  const bool was_ready = subscriber.m_presence.m_ready;
  if (!is_same)
    subscriber = {.m_incarnation = delta.m_incarnation,
                  .m_connection = source.m_connection};
  if (!is_same || was_ready != delta.m_presence->m_ready ||
      subscriber.m_is_leaving != delta.m_leaving) {
    observe::Log(LogEvent::kEntryHostAppeared,
                 {{"host", delta.m_host.m_value},
                  {"incarnation", delta.m_incarnation},
                  {"ready", delta.m_presence->m_ready},
                  {"leaving", delta.m_leaving}});
  }
  subscriber.m_presence = *delta.m_presence;
  subscriber.m_is_leaving = delta.m_leaving;
  subscriber.m_merged = delta.m_merged;
  subscriber.m_seen = delta.m_version;
  subscriber.m_heard = now;
  m_merged_signal.cancel();
  // Answers each message, so that the entry host notices a silent connection.
  // It answers back only to a version that it did not know.
  PushTo(subscriber, now);
}

bool Fleet::IsLive(const Subscriber& subscriber, MonoTime now) const {
  return now - subscriber.m_heard < kEntryHostSilence;
}

std::vector<HostId> Fleet::LeavingEntryHosts() const {
  std::vector<HostId> hosts;
  for (const auto& [host, subscriber] : m_subscribers) {
    if (subscriber.m_is_leaving)
      hosts.push_back(host);
  }
  return hosts;
}

void Fleet::PushTo(Subscriber& subscriber, MonoTime now) {
  const auto connection = subscriber.m_connection.lock();
  if (!connection)
    return;
  membership::DeltaPage page = m_registry.DeltaSince(
      subscriber.m_cursor, m_options.m_host, m_frames.m_incarnation, now);
  page.m_delta.m_version = page.m_upto;
  page.m_delta.m_merged = subscriber.m_seen;
  page.m_delta.m_omitted = LeavingEntryHosts();
  page.m_delta.m_feed_index = m_feed_index;
  if (subscriber.m_lists != m_lists_version) {
    page.m_delta.m_control_hosts = m_control_hosts;
    for (const auto& [host, known] : m_subscribers)
      page.m_delta.m_entry_hosts.push_back(host);
  }
  if (!connection->Send(page.m_delta))
    return;
  subscriber.m_cursor = page.m_upto;
  subscriber.m_lists = m_lists_version;
}

void Fleet::PushToAll() {
  const MonoTime now = MonoClock::now();
  m_pushed_version = m_registry.Version();
  for (auto& [host, subscriber] : m_subscribers)
    PushTo(subscriber, now);
}

bool Fleet::HaveAllMerged(std::uint64_t version, MonoTime now) const {
  return std::all_of(
      m_subscribers.begin(), m_subscribers.end(), [&](const auto& line) {
        return !IsLive(line.second, now) || line.second.m_merged >= version;
      });
}

asio::awaitable<bool> Fleet::WaitUntilMerged(std::uint64_t version,
                                             MonoTime deadline) {
  while (!m_is_stopped) {
    const MonoTime now = MonoClock::now();
    if (HaveAllMerged(version, now))
      co_return true;
    if (now >= deadline)
      break;
    // Several waiters share the timer; each looks again after a confirmation.
    m_merged_signal.expires_after(
        std::min<MonoClock::duration>(deadline - now, kTick));
    co_await m_merged_signal.async_wait(kTuple);
  }
  for (const auto& [host, subscriber] : m_subscribers) {
    if (IsLive(subscriber, MonoClock::now()) && subscriber.m_merged < version)
      observe::Log(LogEvent::kLeaveNotConfirmed, {{"host", host.m_value}});
  }
  co_return false;
}

std::vector<ReadyEntryHost> Fleet::ReadyEntryHosts(MonoTime now) const {
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

asio::awaitable<void> Fleet::TickLoop() {
  asio::steady_timer timer(m_io);
  while (!m_is_stopped) {
    const MonoTime now = MonoClock::now();
    MarkSilentInstances(now);
    if (m_registry.Version() != m_pushed_version)
      PushToAll();
    const std::size_t forgotten =
        std::erase_if(m_subscribers, [&](const auto& line) {
          return now - line.second.m_heard > kEntryHostMemory;
        });
    if (forgotten > 0)
      ++m_lists_version;
    timer.expires_after(kTick);
    co_await timer.async_wait(kTuple);
  }
}

}  // namespace jujube::controld
