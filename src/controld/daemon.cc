#include "controld/daemon.h"

#include <csignal>
#include <optional>
#include <random>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "controld/control_service.h"
#include "controld/operator_api.h"
#include "core/reload_signal.h"
#include "net/http_listener.h"
#include "observe/log.h"

namespace jujube::controld {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);
constexpr milliseconds kStopPollInterval{10};
// Limits how long a planned stop waits for open responses. Pending changes fail
// when the leadership ends, so only a client that does not read takes this
// long.
constexpr milliseconds kResponseTimeout{5000};
// Limits how long a planned stop waits for the replacement of this host. Two
// membership changes take less; a learner may also be too slow or too far
// behind to replace it.
constexpr milliseconds kReplacementTimeout{1500};

std::uint64_t RandomNumber() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

// Increases with each start and differs between hosts: wall-clock milliseconds
// in the upper bits, random lower bits.
std::uint64_t MakeIncarnation() {
  constexpr unsigned kRandomBits = 20;
  const auto wall_ms =
      static_cast<std::uint64_t>(SystemClock().WallNow().count());
  return (wall_ms << kRandomBits) | (RandomNumber() >> (64U - kRandomBits));
}

net::FrameOptions MakeFrameOptions(const std::string& key,
                                   net::FrameCounters* counters) {
  net::FrameOptions options;
  options.m_key = key;
  options.m_counters = counters;
  options.m_incarnation = MakeIncarnation();
  options.m_on_event = [](LogEvent event, std::string_view detail) {
    observe::Log(event, {{"detail", detail}});
  };
  return options;
}

LogEvent LogEventOf(storage::StorageFault fault) {
  switch (fault) {
    case storage::StorageFault::kCorrupt:
      return LogEvent::kLogCorrupt;
    case storage::StorageFault::kInUse:
      return LogEvent::kFolderInUse;
    default:
      return LogEvent::kStorageFailed;
  }
}

// Only whole segments are deleted, so the log on disk exceeds the entries that
// are needed by up to one segment.
storage::LogStoreOptions MakeStoreOptions(const ControlSettings& settings) {
  storage::LogStoreOptions options;
  options.m_segment_bytes =
      std::min(options.m_segment_bytes, settings.m_log_bytes / 4);
  return options;
}

Result<Store> OpenStore(const ControlSettings& settings) {
  const auto log_and_make_error = [](const storage::StorageError& error) {
    observe::Log(LogEventOf(error.m_fault), {{"error", error.m_message}});
    return MakeError(ErrorCode::kIo, error.m_message);
  };
  auto disk = storage::PosixDisk::Open(settings.m_data_folder);
  if (!disk)
    return log_and_make_error(disk.error());
  auto store = Store::Open(std::move(disk).value(), MakeStoreOptions(settings),
                           RandomNumber() | 1U);
  if (!store)
    return log_and_make_error(store.error());
  return std::move(store).value();
}

}  // namespace

struct Daemon::Impl {
  Impl(ControlSettings settings, ControlKeys keys, FrontEnd front_end)
      : m_settings(std::move(settings)),
        m_keys(std::move(keys)),
        m_front_end(std::move(front_end)) {}

  Status Start();
  Status Listen(const Endpoint& endpoint, net::HttpHandler handler);
  std::size_t OpenConnections() const;
  asio::awaitable<void> HandleSignals();
  asio::awaitable<void> TransferLeadership();
  asio::awaitable<void> WaitForReplacement();
  asio::awaitable<void> SleepForPollInterval();

  const ControlSettings m_settings;
  const ControlKeys m_keys;
  const FrontEnd m_front_end;
  net::FrameCounters m_frame_counters;  // must outlive the connections
  asio::io_context m_io{1};
  std::unique_ptr<ControlService> m_service;
  std::unique_ptr<OperatorApi> m_api;
  std::vector<std::unique_ptr<net::HttpListener>> m_listeners;
};

Status Daemon::Impl::Start() {
  const ControlPeer* self = nullptr;
  for (const ControlPeer& peer : m_settings.m_peers) {
    if (peer.m_host == m_settings.m_host)
      self = &peer;
  }
  if (self == nullptr) {
    return MakeError(
        ErrorCode::kInvalidInput,
        "$.peers: found no peer for this host " + m_settings.m_host.m_value);
  }
  JUJUBE_TRY(Store store, OpenStore(m_settings));
  m_service = std::make_unique<ControlService>(
      m_io, m_settings, MakeFrameOptions(m_keys.m_peer, &m_frame_counters),
      std::move(store));
  JUJUBE_TRY(m_service->Start());
  m_api = std::make_unique<OperatorApi>(*m_service, m_settings.m_host,
                                        m_keys.m_operator);
  if (!m_front_end.m_replaces_operator_api) {
    JUJUBE_TRY(Listen(self->m_operator, [this](net::HttpExchange& exchange) {
      return m_api->Handle(exchange);
    }));
  }
  for (const FrontEndListener& listener : m_front_end.m_listeners) {
    JUJUBE_TRY(
        Listen(listener.m_endpoint, listener.m_make_handler(*m_service)));
  }
  return Success();
}

Status Daemon::Impl::Listen(const Endpoint& endpoint,
                            net::HttpHandler handler) {
  m_listeners.push_back(
      std::make_unique<net::HttpListener>(m_io, std::move(handler)));
  JUJUBE_TRY(m_listeners.back()->Listen(endpoint));
  return Success();
}

std::size_t Daemon::Impl::OpenConnections() const {
  std::size_t open_connections = 0;
  for (const auto& listener : m_listeners)
    open_connections += listener->OpenConnections();
  return open_connections;
}

asio::awaitable<void> Daemon::Impl::HandleSignals() {
  asio::signal_set signals(m_io, SIGTERM, SIGINT, SIGHUP);
  AcceptReloadSignal();
  while (true) {
    const auto [error, number] = co_await signals.async_wait(kTuple);
    if (error || number != SIGHUP)
      break;
    if (!m_front_end.m_reload_seeds)
      continue;
    const std::vector<ControlPeer> seeds = m_front_end.m_reload_seeds();
    if (!seeds.empty())
      m_service->Runner().SetSeeds(seeds);
  }
  m_service->Runner().AnnounceStop();
  co_await TransferLeadership();
  co_await WaitForReplacement();
  for (const auto& listener : m_listeners)
    listener->Close();
  // Lets the listeners close their idle connections before the first count.
  co_await SleepForPollInterval();
  const MonoTime deadline = MonoClock::now() + kResponseTimeout;
  while (OpenConnections() > 0 && MonoClock::now() < deadline)
    co_await SleepForPollInterval();
  m_service->Stop();
  m_io.stop();
}

// Waits until another host leads, since its election may need the vote of this
// host.
asio::awaitable<void> Daemon::Impl::TransferLeadership() {
  ReplicaRunner& runner = m_service->Runner();
  if (!runner.IsLeader())
    co_return;
  const MonoTime deadline =
      MonoClock::now() + 2 * m_settings.m_election_timeout;
  runner.TransferLeadership();
  while ((runner.IsLeader() || !runner.Leader()) && MonoClock::now() < deadline)
    co_await SleepForPollInterval();
}

// A host that is removed for good must not stop before its replacement votes:
// the group would have to bear its loss beside two others until then.
asio::awaitable<void> Daemon::Impl::WaitForReplacement() {
  const MonoTime deadline = MonoClock::now() + kReplacementTimeout;
  while (m_service->Runner().AwaitsReplacement() && MonoClock::now() < deadline)
    co_await SleepForPollInterval();
}

asio::awaitable<void> Daemon::Impl::SleepForPollInterval() {
  asio::steady_timer timer(m_io, kStopPollInterval);
  co_await timer.async_wait(kTuple);
}

Daemon::Daemon(ControlSettings settings, ControlKeys keys, FrontEnd front_end)
    : m_impl(std::make_unique<Impl>(std::move(settings),
                                    std::move(keys),
                                    std::move(front_end))) {}

Daemon::~Daemon() = default;

Status Daemon::Start() {
  JUJUBE_TRY(m_impl->Start());
  observe::Log(LogEvent::kStarted,
               {{"host", m_impl->m_settings.m_host.m_value}});
  return Success();
}

void Daemon::Run() {
  asio::co_spawn(m_impl->m_io, m_impl->HandleSignals(), asio::detached);
  m_impl->m_io.run();
  observe::Log(LogEvent::kStopped, {});
}

}  // namespace jujube::controld
