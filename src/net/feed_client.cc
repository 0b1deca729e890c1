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

// A very large age would overflow the conversion to nanoseconds, and all ages
// above a day lead to the same decisions. A negative age, sent by a faulty
// peer, would make a parent look current forever.
std::chrono::milliseconds ClampAge(std::chrono::milliseconds age) {
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
        m_connect_timer(context),
        m_options(std::move(options)),
        m_table(table),
        m_random(std::random_device{}()),
        m_follower(m_options.m_state) {}

  void ConnectToParent();
  FrameDispatch MakeHandlers();
  void OnConnectionChange(bool connected);
  void Subscribe();
  void ReportVersions();
  void RecordMessage();
  void HandleProgress(feed::MessageResult progress, const FeedChange* change);
  void SwitchToNextParent(std::string_view reason);
  void SwitchTo(const Endpoint& parent);
  void ScheduleConnect(std::chrono::milliseconds delay);
  std::chrono::milliseconds NextBackoff();
  void CheckParentTimeouts();
  void ScheduleTick();
  void Log(LogEvent event, const std::string& text);
  std::string ParentName() const;

  asio::io_context& m_context;
  asio::steady_timer m_tick_timer;
  asio::steady_timer m_connect_timer;
  FeedClientOptions m_options;
  feed::StatusTable& m_table;
  std::mt19937_64 m_random;
  feed::Subscriber m_follower;
  StateCallback m_on_state;
  std::unique_ptr<FrameClient> m_frame_client;
  std::size_t m_parent_index = 0;
  // Failed or abandoned parents since the last message received.
  std::size_t m_consecutive_failures = 0;
  MonoTime m_attempt_start;  // start of the connection attempt to the parent
  // Latest time at which the feed origin (the voters) was known to be current;
  // the epoch if never.
  MonoTime m_origin_current_at;
  MonoTime m_last_activity;       // last message or connection attempt
  bool m_switch_pending = false;  // a connection attempt is scheduled
  bool m_resubscribed = false;    // since the last tick
  bool m_stopped = false;
};

void FeedClient::Impl::ConnectToParent() {
  m_switch_pending = false;
  m_last_activity = MonoClock::now();
  m_attempt_start = m_last_activity;
  m_frame_client = std::make_unique<FrameClient>(
      m_context, m_options.m_frames, m_options.m_parents[m_parent_index],
      MakeHandlers());
  m_frame_client->OnConnection([self = weak_from_this()](bool connected) {
    const auto client = self.lock();
    if (client)
      client->OnConnectionChange(connected);
  });
  m_frame_client->Start();
}

FrameDispatch FeedClient::Impl::MakeHandlers() {
  FrameDispatch handlers;
  const auto self = weak_from_this();
  handlers.On<FeedChange>([self](const FrameSource&, const FeedChange& change) {
    const auto client = self.lock();
    if (!client || client->m_switch_pending)
      return;
    client->RecordMessage();
    client->HandleProgress(client->m_follower.OnChange(change), &change);
  });
  handlers.On<FeedSnapshotChunk>(
      [self](const FrameSource&, const FeedSnapshotChunk& chunk) {
        const auto client = self.lock();
        if (!client || client->m_switch_pending)
          return;
        client->RecordMessage();
        client->HandleProgress(client->m_follower.OnChunk(chunk), nullptr);
      });
  handlers.On<FeedStatus>([self](const FrameSource&, const FeedStatus& status) {
    const auto client = self.lock();
    if (!client || client->m_switch_pending)
      return;
    client->RecordMessage();
    // Keep the maximum: a parent that lost contact with the voters reports an
    // older time than this host may already have from another parent.
    client->m_origin_current_at =
        std::max(client->m_origin_current_at,
                 client->m_last_activity - ClampAge(status.m_origin_age));
  });
  return handlers;
}

void FeedClient::Impl::OnConnectionChange(bool connected) {
  if (m_stopped || m_switch_pending)
    return;
  if (!connected)
    return SwitchToNextParent("connection failed or lost");
  Subscribe();
  m_table.RequestFullReport();
  ReportVersions();
}

void FeedClient::Impl::Subscribe() {
  m_follower.DiscardPartialSnapshot();
  m_frame_client->Send(
      FeedSubscribe{.m_host = m_options.m_host,
                    .m_incarnation = m_options.m_frames.m_incarnation,
                    .m_have_index = m_follower.Index()});
}

// The report is also the heartbeat, so it is sent even if nothing changed.
void FeedClient::Impl::ReportVersions() {
  const MonoTime now = MonoClock::now();
  const auto state = m_follower.Current();
  HostVersion version{.m_host = m_options.m_host,
                      .m_incarnation = m_options.m_frames.m_incarnation};
  if (state) {
    version.m_index = state->m_index;
    version.m_number = state->m_deployment.m_number;
  }
  m_table.Merge({.m_hosts = {version}}, now);
  if (m_frame_client && m_frame_client->IsConnected())
    m_frame_client->Send(m_table.Report(now));
}

void FeedClient::Impl::RecordMessage() {
  m_last_activity = MonoClock::now();
  m_consecutive_failures = 0;
}

void FeedClient::Impl::HandleProgress(feed::MessageResult progress,
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
      // Resubscribe at most once per tick: every change that is already in
      // flight has the same gap.
      if (m_resubscribed)
        return;
      m_resubscribed = true;
      Log(LogEvent::kFeedGap, m_follower.LastError().m_message);
      return Subscribe();
    case feed::MessageResult::kRefused:
      Log(LogEvent::kFeedRefused, m_follower.LastError().m_message);
      return SwitchToNextParent("inconsistent message");
  }
}

void FeedClient::Impl::SwitchToNextParent(std::string_view reason) {
  if (m_switch_pending)
    return;
  m_switch_pending = true;
  ++m_consecutive_failures;
  const std::string previous = ParentName();
  m_parent_index = (m_parent_index + 1) % m_options.m_parents.size();
  Log(LogEvent::kFeedParentChanged,
      "from " + previous + " (" + std::string(reason) + ") to " + ParentName());
  ScheduleConnect(NextBackoff());
}

void FeedClient::Impl::SwitchTo(const Endpoint& parent) {
  auto& parents = m_options.m_parents;
  if (m_stopped)
    return;
  Log(LogEvent::kFeedParentChanged,
      "from " + ParentName() + " (lags behind) to " + EndpointText(parent));
  auto position = std::find(parents.begin(), parents.end(), parent);
  if (position == parents.end())
    position = parents.insert(position, parent);
  m_parent_index = static_cast<std::size_t>(position - parents.begin());
  m_switch_pending = true;
  ScheduleConnect(std::chrono::milliseconds(0));
}

// Replaces m_frame_client from the timer, since a FrameClient must not be
// replaced from within its own callback.
void FeedClient::Impl::ScheduleConnect(std::chrono::milliseconds delay) {
  m_connect_timer.expires_after(delay);
  m_connect_timer.async_wait([self = weak_from_this()](const auto& error) {
    const auto client = self.lock();
    if (!error && client && !client->m_stopped)
      client->ConnectToParent();
  });
}

// Exponential backoff with jitter. The delay is doubled after each full round
// over the parents and drawn from the upper half of [0, max_delay], so that the
// subscribers of a failed parent do not reconnect at the same time.
std::chrono::milliseconds FeedClient::Impl::NextBackoff() {
  constexpr std::size_t kMaxDoublings = 16;
  const std::size_t rounds = std::min(
      (m_consecutive_failures - 1) / m_options.m_parents.size(), kMaxDoublings);
  const auto max_delay =
      std::min(m_options.m_frames.m_backoff_min * (1 << rounds),
               m_options.m_frames.m_backoff_max);
  std::uniform_int_distribution<std::int64_t> delay(max_delay.count() / 2,
                                                    max_delay.count());
  return std::chrono::milliseconds(delay(m_random));
}

void FeedClient::Impl::CheckParentTimeouts() {
  const MonoTime now = MonoClock::now();
  if (m_switch_pending)
    return;
  if (now - m_last_activity > m_options.m_silence)
    return SwitchToNextParent("silent");
  if (now - std::max(m_origin_current_at, m_attempt_start) >
      m_options.m_max_origin_age)
    SwitchToNextParent("cut off from the voters");
}

void FeedClient::Impl::ScheduleTick() {
  m_tick_timer.expires_after(m_options.m_heartbeat);
  m_tick_timer.async_wait([self = weak_from_this()](const auto& error) {
    const auto client = self.lock();
    if (error || !client || client->m_stopped)
      return;
    client->m_resubscribed = false;
    client->CheckParentTimeouts();
    client->ReportVersions();
    client->ScheduleTick();
  });
}

void FeedClient::Impl::Log(LogEvent event, const std::string& text) {
  if (m_options.m_frames.m_on_event)
    m_options.m_frames.m_on_event(event, text);
}

std::string FeedClient::Impl::ParentName() const {
  return EndpointText(m_options.m_parents[m_parent_index]);
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
  m_impl->ConnectToParent();
  m_impl->ScheduleTick();
}

void FeedClient::Stop() {
  m_impl->m_stopped = true;
  m_impl->m_switch_pending = true;
  m_impl->m_tick_timer.cancel();
  m_impl->m_connect_timer.cancel();
  if (m_impl->m_frame_client)
    m_impl->m_frame_client->Stop();
}

void FeedClient::SetParents(const std::vector<Endpoint>& parents) {
  assert(!parents.empty());
  const Endpoint current = ParentEndpoint();
  std::vector<Endpoint>& list = m_impl->m_options.m_parents;
  list = parents;
  auto position = std::find(list.begin(), list.end(), current);
  if (position == list.end())
    position = list.insert(position, current);
  m_impl->m_parent_index = static_cast<std::size_t>(position - list.begin());
}

void FeedClient::SwitchTo(const Endpoint& parent) {
  m_impl->SwitchTo(parent);
}

const feed::Subscriber& FeedClient::Source() const {
  return m_impl->m_follower;
}

std::size_t FeedClient::ParentIndex() const {
  return m_impl->m_parent_index;
}

const Endpoint& FeedClient::ParentEndpoint() const {
  return m_impl->m_options.m_parents[m_impl->m_parent_index];
}

bool FeedClient::IsConnected() const {
  return m_impl->m_frame_client && m_impl->m_frame_client->IsConnected();
}

std::chrono::milliseconds FeedClient::OriginAge() const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      MonoClock::now() - m_impl->m_origin_current_at);
}

}  // namespace jujube::net
