#include "entry/daemon.h"

#include <atomic>
#include <csignal>
#include <functional>
#include <memory>
#include <optional>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include "config/check.h"
#include "core/json_document.h"
#include "core/reload_signal.h"
#include "entry/entry_control.h"
#include "entry/entry_shared.h"
#include "entry/operator_handler.h"
#include "entry/platform_handler.h"
#include "gen/deployment_json.h"
#include "net/http_listener.h"
#include "net/worker_group.h"
#include "observe/log.h"

namespace jujube::entry {

namespace asio = boost::asio;

namespace {

constexpr std::size_t kMaxDocumentBytes = 64U << 20U;
constexpr std::size_t kControlThreadIndex = 0;
constexpr std::size_t kFirstWorkerIndex = 1;

// Bounds what the bodies of many callers put on a narrow link at once. A caller
// with a round trip of 16 ms can still send 8 Mbit/s.
constexpr int kNarrowLinkReceiveBytes = 16384;

ServingView EmptyView() {
  return {.m_lookup = std::make_shared<const lookup::Table>(),
          .m_upstreams = std::make_shared<const steering::UpstreamView>(),
          .m_routes = std::make_shared<const steering::RouteTable>(),
          .m_tenants = std::make_shared<const tenants::TenantTable>()};
}

Result<std::optional<Deployment>> ReadDeployment(const std::string& path) {
  if (path.empty())
    return std::optional<Deployment>();
  JUJUBE_TRY(const std::string text, ReadFile(path, kMaxDocumentBytes));
  JUJUBE_TRY(Deployment deployment, ParseDocument<Deployment>(text, path));
  const Problems problems = config::CheckDeployment(deployment);
  if (!problems.empty())
    return ProblemsError(problems, path);
  return std::optional<Deployment>(std::move(deployment));
}

}  // namespace

// Listener for callers on one worker thread.
struct Worker {
  Worker(asio::io_context& io,
         net::HttpHandler handler,
         const net::HttpListenerOptions& options)
      : m_listener(io, std::move(handler), options) {}

  net::HttpListener m_listener;
};

struct Daemon::State {
  State(EntrySettings settings, const EntryKeys& keys, FrontEnd front_end)
      : m_front_end(std::move(front_end)),
        m_shared(std::move(settings),
                 static_cast<std::uint64_t>(SystemClock().WallNow().count()),
                 EmptyView()),
        m_threads(m_shared.m_settings.m_worker_threads + 1U),
        m_control(m_threads.Context(kControlThreadIndex),
                  m_shared,
                  keys.m_peer),
        m_platform_handler(keys.m_platform,
                           [this](const Announcement& announcement) {
                             m_control.OnAnnouncement(announcement);
                           }),
        m_operator_handler(
            keys.m_operator,
            [this] { return m_control.CurrentStatus(); },
            [this] { return m_control.IsReady(); },
            [this] { RequestStop(); }),
        m_platform_listener(m_threads.Context(kControlThreadIndex),
                            [this](net::HttpExchange& exchange) {
                              return m_platform_handler.Handle(exchange);
                            }),
        m_operator_listener(m_threads.Context(kControlThreadIndex),
                            [this](net::HttpExchange& exchange) {
                              return m_operator_handler.Handle(exchange);
                            }) {}

  Status StartOnControlThread(std::optional<Deployment> initial_deployment);
  net::HttpListenerOptions CallerListenerOptions() const;
  Status StartWorkers();
  Status StartFurtherListeners();
  void RequestStop();
  void FinishStop();

  const FrontEnd m_front_end;
  EntryShared m_shared;
  net::WorkerGroup m_threads;
  EntryControl m_control;
  PlatformHandler m_platform_handler;
  OperatorHandler m_operator_handler;
  net::HttpListener m_platform_listener;
  net::HttpListener m_operator_listener;
  std::vector<std::unique_ptr<Worker>> m_workers;
  std::vector<std::unique_ptr<net::HttpListener>> m_further_listeners;
  std::atomic<bool> m_is_stopped = false;
};

Status Daemon::State::StartOnControlThread(
    std::optional<Deployment> initial_deployment) {
  const EntrySettings& settings = m_shared.m_settings;
  JUJUBE_TRY(m_control.Start(std::move(initial_deployment)));
  // With discovery, upstreams send their announcements to the control hosts.
  if (!settings.m_discovers_control) {
    JUJUBE_TRY(m_platform_listener.Listen(settings.m_platform));
  }
  JUJUBE_TRY(m_operator_listener.Listen(settings.m_operator));
  return Success();
}

net::HttpListenerOptions Daemon::State::CallerListenerOptions() const {
  net::HttpListenerOptions options = m_front_end.m_listener;
  options.m_max_overlapping = m_shared.m_settings.m_max_pipelined;
  if (m_front_end.m_may_overlap) {
    options.m_may_overlap = [this](const RequestHead& head) {
      return m_shared.m_controls_overload.load(std::memory_order_relaxed) &&
             m_front_end.m_may_overlap(m_shared, head);
    };
  }
  options.m_receive_buffer_bytes = [this] {
    return m_shared.m_link.HasRate() ? kNarrowLinkReceiveBytes : 0;
  };
  return options;
}

Status Daemon::State::StartWorkers() {
  Endpoint endpoint = m_shared.m_settings.m_caller;
  for (std::size_t i = 1; i < m_threads.size(); ++i) {
    std::optional<Result<std::uint16_t>> port;
    m_threads.Run(i, [&] {
      asio::io_context& io = m_threads.Context(i);
      m_workers.push_back(std::make_unique<Worker>(
          io,
          m_front_end.m_make_handler(m_shared, m_control.Claims(), io,
                                     m_shared.m_incarnation + i),
          CallerListenerOptions()));
      port = m_workers.back()->m_listener.Listen(endpoint);
    });
    if (!*port)
      return port->error();
    // If the system chose the port of the first listener, the others share it.
    endpoint.m_port = port->value();
  }
  return Success();
}

Status Daemon::State::StartFurtherListeners() {
  Status status = Success();
  m_threads.Run(kFirstWorkerIndex, [&] {
    for (const FrontEndListener& listener : m_front_end.m_further_listeners) {
      m_further_listeners.push_back(std::make_unique<net::HttpListener>(
          m_threads.Context(kFirstWorkerIndex),
          listener.m_make_handler(m_shared)));
      const Result<std::uint16_t> port =
          m_further_listeners.back()->Listen(listener.m_endpoint);
      if (!port && status)
        status = port.error();
    }
  });
  return status;
}

// Runs on the control thread.
void Daemon::State::RequestStop() {
  for (const auto& worker : m_workers)
    worker->m_listener.AnnounceClose();
  for (const auto& listener : m_further_listeners)
    listener->AnnounceClose();
  m_control.StartDrain([this] { FinishStop(); });
}

void Daemon::State::FinishStop() {
  if (m_control.WasDrainCutShort()) {
    observe::Log(LogEvent::kHostDrainCutShort,
                 {{"in_progress", m_shared.m_in_progress.load()}});
  }
  m_is_stopped.store(true);
  m_is_stopped.notify_all();
}

Daemon::Daemon(EntrySettings settings,
               const EntryKeys& keys,
               FrontEnd front_end)
    : m_state(std::make_unique<State>(std::move(settings),
                                      keys,
                                      std::move(front_end))) {}

Daemon::~Daemon() = default;

Status Daemon::Start() {
  State& state = *m_state;
  const EntrySettings& settings = state.m_shared.m_settings;
  JUJUBE_TRY(std::optional<Deployment> initial_deployment,
             ReadDeployment(settings.m_deployment_file));
  std::optional<Status> started;
  state.m_threads.Run(kControlThreadIndex, [&] {
    started = state.StartOnControlThread(std::move(initial_deployment));
  });
  JUJUBE_TRY(*started);
  JUJUBE_TRY(state.StartWorkers());
  JUJUBE_TRY(state.StartFurtherListeners());
  observe::Log(LogEvent::kStarted,
               {{"host", settings.m_host.m_value},
                {"incarnation", state.m_shared.m_incarnation}});
  return Success();
}

void Daemon::Run() {
  State& state = *m_state;
  asio::io_context io(1);
  asio::signal_set signals(io, SIGTERM, SIGINT, SIGHUP);
  AcceptReloadSignal();
  std::function<void(const boost::system::error_code&, int)> on_signal =
      [&](const boost::system::error_code& error, int number) {
        if (error)
          return;
        if (number != SIGHUP) {
          state.m_threads.Post(kControlThreadIndex,
                               [&] { state.RequestStop(); });
          return;
        }
        if (state.m_front_end.m_reload_seeds) {
          state.m_threads.Post(kControlThreadIndex,
                               [&, seeds = state.m_front_end.m_reload_seeds()] {
                                 state.m_control.SetSeeds(seeds);
                               });
        }
        signals.async_wait(on_signal);
      };
  signals.async_wait(on_signal);
  std::thread signal_thread([&] { io.run(); });
  state.m_is_stopped.wait(false);
  io.stop();
  signal_thread.join();
  for (const auto& worker : state.m_workers)
    worker->m_listener.Close();
  for (const auto& listener : state.m_further_listeners)
    listener->Close();
  state.m_threads.Run(kControlThreadIndex, [&] { state.m_control.Stop(); });
  state.m_threads.Stop();
  observe::Log(LogEvent::kStopped, {});
}

}  // namespace jujube::entry
