#include "stub/load_generator.h"

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include "core/clock.h"
#include "core/hash.h"
#include "core/json_document.h"
#include "gen/load_json.h"
#include "gen/lookup_json.h"
#include "net/http_call.h"
#include "net/http_connection.h"
#include "net/http_fields.h"

namespace jujube::stub {

namespace asio = boost::asio;
using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);
constexpr milliseconds kLookupTimeout{1000};

enum class Outcome : std::uint8_t {
  kOk,
  kNotRun,
  kMayHaveRun,
  kFailed,  // no response, or an error status without a verdict
  kWrong    // success status, but the body does not echo this request
};

// State of one run. Not thread-safe.
class LoadGenerator {
 public:
  explicit LoadGenerator(const LoadOptions& options) : m_options(options) {}

  LoadReport Run();

 private:
  using Connections = std::map<Endpoint, std::unique_ptr<net::HttpConnection>>;

  asio::awaitable<void> Worker();
  asio::awaitable<void> WaitUntilDue(MonoTime due);
  asio::awaitable<Outcome> SendRequest(Connections& connections,
                                       std::uint64_t request_number,
                                       MonoTime deadline);
  asio::awaitable<Outcome> Attempt(Connections& connections,
                                   Endpoint target,
                                   net::HttpRequest request,
                                   MonoTime deadline);
  asio::awaitable<std::vector<Endpoint>> ResolveTargets(MonoTime deadline);
  net::HttpRequest MakeRequest(std::uint64_t request_number,
                               MonoTime deadline) const;
  Outcome ClassifyResponse(const net::HttpRequest& request,
                           const net::HttpResponse& response) const;
  void CountOutcome(Outcome outcome);

  const LoadOptions m_options;
  asio::io_context m_io{1};
  LoadReport m_report;
  std::vector<std::uint64_t> m_latencies_us;
  std::uint64_t m_next_request = 0;
  MonoTime m_start_time;
  std::vector<Endpoint> m_targets;
  MonoTime m_targets_expiry;
  std::size_t m_next_entry_host = 0;
};

std::uint64_t Percentile(const std::vector<std::uint64_t>& sorted,
                         std::uint64_t permille) {
  if (sorted.empty())
    return 0;
  const std::size_t index = (sorted.size() - 1) * permille / 1000;
  return sorted[index];
}

bool IsSuccess(std::uint16_t status) {
  return status / 100 == 2;
}

LoadReport LoadGenerator::Run() {
  m_start_time = MonoClock::now();
  for (std::uint32_t i = 0; i < m_options.m_concurrency; ++i)
    asio::co_spawn(m_io, Worker(), asio::detached);
  m_io.run();
  std::sort(m_latencies_us.begin(), m_latencies_us.end());
  m_report.m_sent = m_next_request;
  m_report.m_seconds =
      std::chrono::duration<double>(MonoClock::now() - m_start_time).count();
  m_report.m_p50_us = Percentile(m_latencies_us, 500);
  m_report.m_p99_us = Percentile(m_latencies_us, 990);
  m_report.m_p999_us = Percentile(m_latencies_us, 999);
  m_report.m_max_us = m_latencies_us.empty() ? 0 : m_latencies_us.back();
  return m_report;
}

asio::awaitable<void> LoadGenerator::Worker() {
  Connections connections;
  while (m_next_request < m_options.m_requests) {
    const std::uint64_t request_number = m_next_request++;
    MonoTime due = MonoClock::now();
    if (m_options.m_rate > 0) {
      due =
          m_start_time + std::chrono::nanoseconds(
                             1'000'000'000 * request_number / m_options.m_rate);
      co_await WaitUntilDue(due);
    }
    const Outcome outcome = co_await SendRequest(
        connections, request_number, MonoClock::now() + m_options.m_deadline);
    const auto latency =
        std::chrono::duration_cast<microseconds>(MonoClock::now() - due);
    m_latencies_us.push_back(static_cast<std::uint64_t>(latency.count()));
    CountOutcome(outcome);
  }
}

asio::awaitable<void> LoadGenerator::WaitUntilDue(MonoTime due) {
  const auto remaining = due - MonoClock::now();
  if (remaining <= MonoClock::duration::zero())
    co_return;
  asio::steady_timer timer(m_io, remaining);
  co_await timer.async_wait(kTuple);
}

net::HttpRequest LoadGenerator::MakeRequest(std::uint64_t request_number,
                                            MonoTime deadline) const {
  const auto remaining =
      std::chrono::duration_cast<milliseconds>(deadline - MonoClock::now());
  net::HttpRequest request;
  request.m_method = m_options.m_method;
  const bool has_query = m_options.m_path.find('?') != std::string::npos;
  request.m_target = m_options.m_path + (has_query ? "&" : "?") +
                     "n=" + std::to_string(request_number);
  request.m_headers = {
      {"Host", "load"},
      {"Jujube-Deadline-Ms", std::to_string(remaining.count())}};
  if (m_options.m_method != "GET") {
    const std::string random = std::to_string(
        Hash64(std::to_string(request_number), m_options.m_seed));
    request.m_headers.push_back(
        {"Idempotency-Key",
         std::to_string(SystemClock().WallNow().count()) + "-" + random});
    request.m_body.assign(m_options.m_body_bytes,
                          static_cast<char>('a' + request_number % 26));
  }
  return request;
}

asio::awaitable<Outcome> LoadGenerator::SendRequest(
    Connections& connections,
    std::uint64_t request_number,
    MonoTime deadline) {
  const std::vector<Endpoint> targets = co_await ResolveTargets(deadline);
  const net::HttpRequest request = MakeRequest(request_number, deadline);
  Outcome outcome = Outcome::kFailed;
  for (std::uint32_t i = 0; i < m_options.m_attempts && !targets.empty(); ++i) {
    if (MonoClock::now() >= deadline)
      break;
    if (i > 0)
      ++m_report.m_resent;
    net::HttpRequest attempt = request;
    if (i == 0 || outcome == Outcome::kNotRun)
      attempt.m_headers.push_back({"Jujube-Earlier-Attempts", "not-run"});
    outcome = co_await Attempt(connections, targets[i % targets.size()],
                               std::move(attempt), deadline);
    if (outcome != Outcome::kNotRun && outcome != Outcome::kFailed)
      break;
  }
  co_return outcome;
}

asio::awaitable<Outcome> LoadGenerator::Attempt(Connections& connections,
                                                Endpoint target,
                                                net::HttpRequest request,
                                                MonoTime deadline) {
  const net::HttpRequest original = request;
  if (!m_options.m_direct)
    request.m_target = "/s/" + m_options.m_service.m_value + request.m_target;
  auto& connection = connections[target];
  if (connection == nullptr || connection->Stale()) {
    connection = std::make_unique<net::HttpConnection>(m_io.get_executor());
    connection->SetDeadline(deadline);
    if (!co_await connection->Connect(target)) {
      connection.reset();
      co_return Outcome::kFailed;
    }
  }
  const Result<net::HttpResponse> response =
      co_await net::HttpCall(*connection, request, deadline);
  if (!response || !connection->Reusable())
    connection.reset();
  if (!response)
    co_return Outcome::kFailed;
  co_return ClassifyResponse(original, response.value());
}

Outcome LoadGenerator::ClassifyResponse(
    const net::HttpRequest& request,
    const net::HttpResponse& response) const {
  const auto verdict =
      net::FindHeader(response.m_head.m_headers, "Jujube-Verdict");
  if (!IsSuccess(response.m_head.m_status)) {
    if (verdict == "not-run")
      return Outcome::kNotRun;
    return verdict == "may-have-run" ? Outcome::kMayHaveRun : Outcome::kFailed;
  }
  const auto echo =
      ParseDocument<EchoedRequest>(response.m_body, "response body");
  const bool matches =
      echo && echo.value().m_target == request.m_target &&
      echo.value().m_body_sha256 == Hex(Sha256(request.m_body));
  return matches ? Outcome::kOk : Outcome::kWrong;
}

asio::awaitable<std::vector<Endpoint>> LoadGenerator::ResolveTargets(
    MonoTime deadline) {
  if (m_options.m_direct)
    co_return std::vector<Endpoint>{*m_options.m_direct};
  if (MonoClock::now() < m_targets_expiry)
    co_return m_targets;
  net::HttpRequest request;
  request.m_target = "/lookup?service=" + m_options.m_service.m_value;
  if (!m_options.m_caller.empty())
    request.m_target += "&caller=" + m_options.m_caller;
  for (std::size_t i = 0; i < m_options.m_entries.size(); ++i) {
    const Endpoint entry =
        m_options.m_entries[m_next_entry_host % m_options.m_entries.size()];
    const MonoTime limit =
        std::min(deadline, MonoClock::now() + kLookupTimeout);
    const Result<net::HttpResponse> response =
        co_await net::HttpCall(entry, request, limit);
    const auto answer =
        response && IsSuccess(response.value().m_head.m_status)
            ? ParseDocument<LookupAnswer>(response.value().m_body, "look-up")
            : MakeError(ErrorCode::kUnavailable, "no look-up answer");
    if (answer) {
      m_targets.clear();
      for (const LookupHost& host : answer.value().m_hosts)
        m_targets.push_back({host.m_address, host.m_port});
      m_targets_expiry = MonoClock::now() + answer.value().m_lifetime;
      co_return m_targets;
    }
    ++m_next_entry_host;
  }
  // No entry host answered: fall back to the expired list.
  co_return m_targets;
}

void LoadGenerator::CountOutcome(Outcome outcome) {
  switch (outcome) {
    case Outcome::kOk:
      ++m_report.m_ok;
      break;
    case Outcome::kNotRun:
      ++m_report.m_not_run;
      break;
    case Outcome::kMayHaveRun:
      ++m_report.m_may_have_run;
      break;
    case Outcome::kFailed:
      ++m_report.m_failed;
      break;
    case Outcome::kWrong:
      ++m_report.m_wrong;
      break;
  }
}

}  // namespace

LoadReport RunLoad(const LoadOptions& options) {
  return LoadGenerator(options).Run();
}

}  // namespace jujube::stub
