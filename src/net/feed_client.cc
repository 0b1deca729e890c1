#include "net/feed_client.h"

#include <algorithm>
#include <cassert>
#include <random>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "core/endpoint_text.h"
#include "net/frame_client.h"

namespace jujube::net {

namespace asio = boost::asio;

namespace {

// A larger age is the same for every decision and would overflow nanoseconds;
// a negative one, from a faulty sender, would make a parent current for ever.
std::chrono::milliseconds BoundedAge(std::chrono::milliseconds age) {
  return std::clamp<std::chrono::milliseconds>(
      age, std::chrono::milliseconds(0), std::chrono::hours(24));
}

}  // namespace

struct FeedClient::Impl : std::enable_shared_from_this<FeedClient::Impl> {
  Impl(asio::io_context& context,
       FeedClientOptions options,
       feed::StatusTable& table)
      : m_context(context),
        m_tick_timer(context),
        m_change_timer(context),
        m_options(std::move(options)),
        m_table(table),
        m_random(std::random_device{}()),
        m_follower(m_options.m_state) {}

  void TryParent();
  FrameDispatch Handlers();
  void Connection(bool connected);
  void Subscribe();
  void ReportVersions();
  void Heard();
  void Advance(feed::MessageResult progress, const FeedChange* change);
  void LeaveParent(std::string_view reason);
  void SwitchTo(const Endpoint& parent);
  void TryLater(std::chrono::milliseconds wait);
  std::chrono::milliseconds Backoff();
  void CheckParent();
  void Tick();
  void Log(LogEvent event, const std::string& text);
  std::string ParentName() const;

  asio::io_context& m_context;
  asio::steady_timer m_tick_timer;
  asio::steady_timer m_change_timer;
  FeedClientOptions m_options;
  feed::StatusTable& m_table;
  std::mt19937_64 m_random;
  feed::Subscriber m_follower;
  StateCallback m_on_state;
  std::unique_ptr<FrameClient> m_client;
  std::size_t m_parent = 0;
  std::size_t m_failures = 0;  // parents left since the last useful message
  MonoTime m_tried_at;         // start of the attempt at the current parent
  MonoTime m_origin_heard;     // when the voters were current; never: the epoch
  MonoTime m_last_heard;       // message or attempt
  bool m_leaving = false;      // a change of the parent is scheduled
  bool m_asked_again = false;  // since the last tick
  bool m_stopped = false;
};

void FeedClient::Impl::TryParent() {
  m_leaving = false;
  m_last_heard = MonoClock::now();
  m_tried_at = m_last_heard;
  m_client = std::make_unique<FrameClient>(
      m_context, m_options.m_frames, m_options.m_parents[m_parent], Handlers());
  m_client->OnConnection([self = weak_from_this()](bool connected) {
    const auto client = self.lock();
    if (client)
      client->Connection(connected);
  });
  m_client->Start();
}

FrameDispatch FeedClient::Impl::Handlers() {
  FrameDispatch handlers;
  const auto self = weak_from_this();
  handlers.On<FeedChange>([self](const FrameSource&, const FeedChange& change) {
    const auto client = self.lock();
    if (!client || client->m_leaving)
      return;
    client->Heard();
    client->Advance(client->m_follower.OnChange(change), &change);
  });
  handlers.On<FeedSnapshotChunk>(
      [self](const FrameSource&, const FeedSnapshotChunk& chunk) {
        const auto client = self.lock();
        if (!client || client->m_leaving)
          return;
        client->Heard();
        client->Advance(client->m_follower.OnChunk(chunk), nullptr);
      });
  handlers.On<FeedStatus>([self](const FrameSource&, const FeedStatus& beat) {
    const auto client = self.lock();
    if (!client || client->m_leaving)
      return;
    client->Heard();
    // A parent that is cut off cannot make the origin look older than it is
    // known to be.
    client->m_origin_heard =
        std::max(client->m_origin_heard,
                 client->m_last_heard - BoundedAge(beat.m_origin_age));
  });
  return handlers;
}

void FeedClient::Impl::Connection(bool connected) {
  if (m_stopped || m_leaving)
    return;
  if (!connected)
    return LeaveParent("not connected");
  Subscribe();
  m_table.RequestFullReport();
  ReportVersions();
}

void FeedClient::Impl::Subscribe() {
  m_follower.DiscardPartialSnapshot();
  m_client->Send(
      FeedSubscribe{.m_host = m_options.m_host,
                    .m_incarnation = m_options.m_frames.m_incarnation,
                    .m_have_index = m_follower.Index()});
}

// Also the heartbeat: an empty report says that this host is alive.
void FeedClient::Impl::ReportVersions() {
  const MonoTime now = MonoClock::now();
  const auto state = m_follower.Current();
  HostVersion own{.m_host = m_options.m_host,
                  .m_incarnation = m_options.m_frames.m_incarnation};
  if (state) {
    own.m_index = state->m_index;
    own.m_number = state->m_deployment.m_number;
  }
  m_table.Merge({.m_hosts = {own}}, now);
  if (m_client && m_client->IsConnected())
    m_client->Send(m_table.Report(now));
}

void FeedClient::Impl::Heard() {
  m_last_heard = MonoClock::now();
  m_failures = 0;
}

void FeedClient::Impl::Advance(feed::MessageResult progress,
                               const FeedChange* change) {
  switch (progress) {
    case feed::MessageResult::kApplied:
      if (m_on_state)
        m_on_state(m_follower.Current(), change);
      return;
    case feed::MessageResult::kPartial:
    case feed::MessageResult::kIgnored:
      return;
    case feed::MessageResult::kGap:
      // Once a tick: all changes that are under way have the same gap.
      if (m_asked_again)
        return;
      m_asked_again = true;
      Log(LogEvent::kFeedGap, m_follower.LastError().m_message);
      return Subscribe();
    case feed::MessageResult::kRefused:
      Log(LogEvent::kFeedRefused, m_follower.LastError().m_message);
      return LeaveParent("inconsistent message");
  }
}

void FeedClient::Impl::LeaveParent(std::string_view reason) {
  if (m_leaving)
    return;
  m_leaving = true;
  ++m_failures;
  const std::string left = ParentName();
  m_parent = (m_parent + 1) % m_options.m_parents.size();
  Log(LogEvent::kFeedParentChanged,
      "from " + left + " (" + std::string(reason) + ") to " + ParentName());
  TryLater(Backoff());
}

void FeedClient::Impl::SwitchTo(const Endpoint& parent) {
  auto& parents = m_options.m_parents;
  if (m_stopped)
    return;
  Log(LogEvent::kFeedParentChanged,
      "from " + ParentName() + " (lags behind) to " + EndpointText(parent));
  auto at = std::find(parents.begin(), parents.end(), parent);
  if (at == parents.end())
    at = parents.insert(at, parent);
  m_parent = static_cast<std::size_t>(at - parents.begin());
  m_leaving = true;
  TryLater(std::chrono::milliseconds(0));
}

// The client is replaced from the timer, never from within its own callback.
void FeedClient::Impl::TryLater(std::chrono::milliseconds wait) {
  m_change_timer.expires_after(wait);
  m_change_timer.async_wait([self = weak_from_this()](const auto& error) {
    const auto client = self.lock();
    if (!error && client && !client->m_stopped)
      client->TryParent();
  });
}

// Short until each parent was tried once, then doubled for each round. Between
// half and all of it, so that the children of a lost parent spread out.
std::chrono::milliseconds FeedClient::Impl::Backoff() {
  constexpr std::size_t kMaxDoublings = 16;
  const std::size_t rounds =
      std::min((m_failures - 1) / m_options.m_parents.size(), kMaxDoublings);
  const auto limit = std::min(m_options.m_frames.m_backoff_min * (1 << rounds),
                              m_options.m_frames.m_backoff_max);
  std::uniform_int_distribution<std::int64_t> part(limit.count() / 2,
                                                   limit.count());
  return std::chrono::milliseconds(part(m_random));
}

void FeedClient::Impl::CheckParent() {
  const MonoTime now = MonoClock::now();
  if (m_leaving)
    return;
  if (now - m_last_heard > m_options.m_silence)
    return LeaveParent("silent");
  if (now - std::max(m_origin_heard, m_tried_at) > m_options.m_max_origin_age)
    LeaveParent("cut off from the voters");
}

void FeedClient::Impl::Tick() {
  m_tick_timer.expires_after(m_options.m_heartbeat);
  m_tick_timer.async_wait([self = weak_from_this()](const auto& error) {
    const auto client = self.lock();
    if (error || !client || client->m_stopped)
      return;
    client->m_asked_again = false;
    client->CheckParent();
    client->ReportVersions();
    client->Tick();
  });
}

void FeedClient::Impl::Log(LogEvent event, const std::string& text) {
  if (m_options.m_frames.m_on_event)
    m_options.m_frames.m_on_event(event, text);
}

std::string FeedClient::Impl::ParentName() const {
  return EndpointText(m_options.m_parents[m_parent]);
}

FeedClient::FeedClient(asio::io_context& context,
                       FeedClientOptions options,
                       feed::StatusTable& table)
    : m_impl(std::make_shared<Impl>(context, std::move(options), table)) {
  assert(!m_impl->m_options.m_parents.empty());
}

FeedClient::~FeedClient() {
  Stop();
}

void FeedClient::OnState(StateCallback callback) {
  m_impl->m_on_state = std::move(callback);
}

void FeedClient::Start() {
  m_impl->TryParent();
  m_impl->Tick();
}

void FeedClient::Stop() {
  m_impl->m_stopped = true;
  m_impl->m_leaving = true;
  m_impl->m_tick_timer.cancel();
  m_impl->m_change_timer.cancel();
  if (m_impl->m_client)
    m_impl->m_client->Stop();
}

void FeedClient::SwitchTo(const Endpoint& parent) {
  m_impl->SwitchTo(parent);
}

const feed::Subscriber& FeedClient::Source() const {
  return m_impl->m_follower;
}

std::size_t FeedClient::Parent() const {
  return m_impl->m_parent;
}

const Endpoint& FeedClient::ParentEndpoint() const {
  return m_impl->m_options.m_parents[m_impl->m_parent];
}

bool FeedClient::IsConnected() const {
  return m_impl->m_client && m_impl->m_client->IsConnected();
}

std::chrono::milliseconds FeedClient::OriginAge() const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      MonoClock::now() - m_impl->m_origin_heard);
}

}  // namespace jujube::net
