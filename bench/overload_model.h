// Closed loop over the decisions of src/overload: entry hosts, upstreams with
// queues, and callers that come back after a refusal. Time is simulated, and a
// run is a pure function of its parameters.
//
// Sections: parameters, results, model.

#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <tuple>
#include <vector>

#include "overload/repeat_filter.h"
#include "overload/return_delay.h"
#include "overload/service_room.h"
#include "steering/fast_random.h"

namespace jujube::bench {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

// ---- parameters ----

struct ModelKind {
  const char* m_name = "";
  std::uint8_t m_priority = 5;
  double m_per_s = 0;      // requests over all hosts
  milliseconds m_work{0};  // mean
  milliseconds m_target{0};
  milliseconds m_time_limit{0};
  std::uint32_t m_tenants = 1;
};

struct OverloadParameters {
  std::vector<ModelKind> m_kinds;
  // Factor on the requests of a tenant of a kind at a time.
  std::function<double(milliseconds, std::size_t, std::uint32_t)> m_load =
      [](milliseconds, std::size_t, std::uint32_t) { return 1.0; };
  // Upstreams that are lost at a time and back at another.
  std::size_t m_lost = 0;
  milliseconds m_lost_at{0};
  milliseconds m_back_at{0};
  // Part of the callers that come back at once, up to five times.
  double m_abuse_share = 0;
  milliseconds m_length{20000};
  std::uint64_t m_seed = 1;
};

inline constexpr std::size_t kModelHosts = 12;
inline constexpr std::size_t kModelUpstreams = 24;
inline constexpr std::size_t kModelSlots = 6;
inline constexpr std::size_t kModelQueue = 18;
inline constexpr std::size_t kAllSlots = kModelUpstreams * kModelSlots;
inline constexpr nanoseconds kModelDelay = milliseconds(5);
inline constexpr int kAbusiveReturns = 5;

// ---- results ----

struct ModelCount {
  std::uint32_t m_asked = 0;
  std::uint32_t m_in_time = 0;
  std::uint32_t m_late = 0;

  double InTime() const { return m_asked > 0 ? 1.0 * m_in_time / m_asked : 1; }
  double Served() const {
    return m_asked > 0 ? 1.0 * (m_in_time + m_late) / m_asked : 1;
  }
};

struct ModelResult {
  std::vector<ModelCount> m_by_kind;
  std::map<std::pair<std::size_t, std::uint32_t>, ModelCount> m_by_tenant;
  ModelCount m_abusive;
  ModelCount m_orderly;
  nanoseconds m_max_held{
      0};  // longest time at a host before a start or refusal
  std::size_t m_max_waiting = 0;
  std::vector<std::uint32_t> m_returns_by_10ms;  // requests that came back
};

// ---- model ----

template <overload::RoomPolicy P>
class OverloadModel {
 public:
  explicit OverloadModel(OverloadParameters parameters)
      : m_parameters(std::move(parameters)),
        m_random(m_parameters.m_seed),
        m_hosts(kModelHosts),
        m_upstreams(kModelUpstreams) {
    m_result.m_by_kind.resize(m_parameters.m_kinds.size());
    m_result.m_returns_by_10ms.resize(
        static_cast<std::size_t>(m_parameters.m_length.count()) / 10 + 2000);
    for (Host& host : m_hosts)
      host.m_room.SetFairShare(1.0 * kAllSlots / kModelHosts);
  }

  ModelResult Run() {
    for (std::size_t i = 0; i < m_parameters.m_kinds.size(); ++i) {
      if (m_parameters.m_kinds[i].m_per_s > 0)
        ScheduleArrival(i);
    }
    Schedule(milliseconds(10), Kind::kTick, 0);
    while (!m_events.empty()) {
      const Event event = m_events.top();
      m_events.pop();
      m_now = event.m_at;
      Handle(event);
    }
    return m_result;
  }

 private:
  enum class Kind { kArrival, kReturn, kReachUpstream, kFinish, kTick };
  struct Event {
    MonoTime m_at{};
    Kind m_kind = Kind::kTick;
    std::size_t m_index = 0;  // kind of request, or request
    std::uint64_t m_sequence = 0;
    friend bool operator<(const Event& a, const Event& b) {
      return std::tie(a.m_at, a.m_sequence) > std::tie(b.m_at, b.m_sequence);
    }
  };
  struct Request {
    std::size_t m_kind = 0;
    std::uint32_t m_tenant = 0;
    bool m_is_abusive = false;
    MonoTime m_first_at{};
    MonoTime m_arrived_at{};
    MonoTime m_started_at{};
    int m_returns = 0;
    std::size_t m_host = 0;
    std::size_t m_upstream = 0;
  };
  struct Host {
    overload::ServiceRoom<P> m_room;
    overload::RepeatFilter m_repeats;
  };
  struct Upstream {
    std::size_t m_running = 0;
    std::deque<std::size_t> m_queue;
    std::vector<std::size_t> m_sent;  // by host
  };

  const ModelKind& KindOf(const Request& request) const {
    return m_parameters.m_kinds[request.m_kind];
  }
  milliseconds Elapsed() const {
    return std::chrono::duration_cast<milliseconds>(m_now - MonoTime{} -
                                                    kStart);
  }
  double Uniform() {
    return static_cast<double>(m_random() >> 11U) * 0x1.0p-53;
  }
  std::size_t Below(std::size_t bound) {
    return m_random.UniformBelow(static_cast<std::uint32_t>(bound));
  }

  void Schedule(nanoseconds delay, Kind kind, std::size_t index) {
    m_events.push({m_now + delay, kind, index, m_next_sequence++});
  }

  // Poisson arrivals at the largest rate, of which some are left out.
  void ScheduleArrival(std::size_t kind) {
    constexpr double kMaxFactor = 10;
    const double rate = m_parameters.m_kinds[kind].m_per_s * kMaxFactor;
    Schedule(nanoseconds(static_cast<std::int64_t>(-std::log(1 - Uniform()) /
                                                   rate * 1e9)),
             Kind::kArrival, kind);
  }

  void Handle(const Event& event) {
    switch (event.m_kind) {
      case Kind::kArrival:
        OnArrival(event.m_index);
        break;
      case Kind::kReturn:
        OnReturn(event.m_index);
        break;
      case Kind::kReachUpstream:
        OnReachUpstream(event.m_index);
        break;
      case Kind::kFinish:
        OnFinish(event.m_index);
        break;
      case Kind::kTick:
        for (std::size_t i = 0; i < m_hosts.size(); ++i) {
          m_hosts[i].m_room.Advance(m_now);
          Wake(i);
        }
        if (Elapsed() < m_parameters.m_length + milliseconds(10000))
          Schedule(milliseconds(10), Kind::kTick, 0);
        break;
    }
  }

  void OnArrival(std::size_t kind) {
    if (Elapsed() >= m_parameters.m_length)
      return;
    ScheduleArrival(kind);
    const auto tenant =
        static_cast<std::uint32_t>(Below(m_parameters.m_kinds[kind].m_tenants));
    if (Uniform() * 10 >= m_parameters.m_load(Elapsed(), kind, tenant))
      return;
    m_requests.push_back(
        {.m_kind = kind,
         .m_tenant = tenant,
         .m_is_abusive = Uniform() < m_parameters.m_abuse_share,
         .m_first_at = m_now});
    Request& request = m_requests.back();
    CountOf(request, [](ModelCount& count) { ++count.m_asked; });
    request.m_host = Below(kModelHosts);
    Ask(m_requests.size() - 1);
  }

  void OnReturn(std::size_t id) {
    Request& request = m_requests[id];
    const auto bucket = static_cast<std::size_t>(Elapsed().count() / 10);
    if (bucket < m_result.m_returns_by_10ms.size())
      ++m_result.m_returns_by_10ms[bucket];
    // A caller excludes the host that refused it; abusive ones stay.
    if (!request.m_is_abusive)
      request.m_host =
          (request.m_host + 1 + Below(kModelHosts - 1)) % kModelHosts;
    Ask(id);
  }

  void Ask(std::size_t id) {
    Request& request = m_requests[id];
    const ModelKind& kind = KindOf(request);
    Host& host = m_hosts[request.m_host];
    request.m_arrived_at = m_now;
    const overload::RoomDecision decision = host.m_room.Ask(
        {.m_id = id,
         .m_priority = kind.m_priority,
         .m_tenant = request.m_kind * 1000 + request.m_tenant,
         .m_expected_response = host.m_room.ExpectedResponse(kind.m_name),
         .m_target_at = host.m_room.CanMeet(kind.m_name, kind.m_target)
                            ? m_now + kind.m_target
                            : m_now + kind.m_time_limit,
         .m_deadline = std::min(m_now + kind.m_time_limit,
                                request.m_first_at + 3 * kind.m_time_limit),
         .m_is_early_repeat = host.m_repeats.IsEarly(id, m_now)},
        m_now);
    if (decision.m_answer == overload::RoomAnswer::kGo)
      Send(id);
    else if (overload::IsRefused(decision.m_answer))
      OnRefused(id, decision.m_expected_room);
    Wake(request.m_host);
  }

  void Wake(std::size_t host) {
    for (const overload::Woken& woken : m_hosts[host].m_room.TakeWoken()) {
      if (woken.m_answer == overload::RoomAnswer::kGo)
        Send(woken.m_id);
      else
        OnRefused(woken.m_id, nanoseconds(0));
    }
  }

  void NoteHeld(const Request& request) {
    m_result.m_max_held =
        std::max(m_result.m_max_held, m_now - request.m_arrived_at);
  }

  void OnRefused(std::size_t id, nanoseconds expected_room) {
    Request& request = m_requests[id];
    const ModelKind& kind = KindOf(request);
    Host& host = m_hosts[request.m_host];
    NoteHeld(request);
    const milliseconds delay = overload::ReturnDelay(
        {.m_remaining = request.m_first_at + 3 * kind.m_time_limit - m_now,
         .m_expected_room = expected_room,
         .m_until_latest_start = request.m_first_at + kind.m_target -
                                 host.m_room.ExpectedResponse(kind.m_name) -
                                 m_now,
         .m_ranks_above = host.m_room.RanksAbove(kind.m_priority, m_now),
         .m_draw = m_random()});
    host.m_repeats.OnRefused(id, m_now + delay);
    const int max_returns = request.m_is_abusive ? kAbusiveReturns : 1;
    if (request.m_returns++ >= max_returns)
      return;
    Schedule(request.m_is_abusive ? milliseconds(10) : delay, Kind::kReturn,
             id);
  }

  // The upstream with fewer requests of this host, of two drawn at random.
  std::size_t Choose(std::size_t host) {
    const auto sent = [&](std::size_t i) {
      m_upstreams[i].m_sent.resize(kModelHosts);
      return m_upstreams[i].m_sent[host];
    };
    const std::size_t usable =
        IsLossNow() ? kModelUpstreams - m_parameters.m_lost : kModelUpstreams;
    const std::size_t a = Below(usable);
    const std::size_t b = Below(usable);
    return sent(a) <= sent(b) ? a : b;
  }
  bool IsLossNow() const {
    return m_parameters.m_lost > 0 && Elapsed() >= m_parameters.m_lost_at &&
           Elapsed() < m_parameters.m_back_at;
  }

  void Send(std::size_t id) {
    Request& request = m_requests[id];
    NoteHeld(request);
    request.m_started_at = m_now;
    request.m_upstream = Choose(request.m_host);
    ++m_upstreams[request.m_upstream].m_sent[request.m_host];
    Schedule(kModelDelay, Kind::kReachUpstream, id);
  }

  void OnReachUpstream(std::size_t id) {
    Request& request = m_requests[id];
    Upstream& upstream = m_upstreams[request.m_upstream];
    if (upstream.m_running < kModelSlots) {
      Run(id);
    } else if (upstream.m_queue.size() < kModelQueue) {
      upstream.m_queue.push_back(id);
    } else {
      m_hosts[request.m_host].m_room.OnRefused(m_now);
      End(id);
      OnRefused(id, nanoseconds(0));
    }
  }

  void Run(std::size_t id) {
    ++m_upstreams[m_requests[id].m_upstream].m_running;
    const double work =
        static_cast<double>(nanoseconds(KindOf(m_requests[id]).m_work).count());
    const double drawn = work / 2 - std::log(1 - Uniform()) * work / 2;
    Schedule(nanoseconds(static_cast<std::int64_t>(drawn)), Kind::kFinish, id);
  }

  void OnFinish(std::size_t id) {
    const Request request = m_requests[id];
    const ModelKind& kind = KindOf(request);
    Upstream& upstream = m_upstreams[request.m_upstream];
    --upstream.m_running;
    while (!upstream.m_queue.empty()) {
      const std::size_t next = upstream.m_queue.front();
      upstream.m_queue.pop_front();
      if (m_now < m_requests[next].m_arrived_at +
                      KindOf(m_requests[next]).m_time_limit) {
        Run(next);
        break;
      }
      m_hosts[m_requests[next].m_host].m_room.OnGivenUp(
          KindOf(m_requests[next]).m_name,
          m_now - m_requests[next].m_started_at);
      End(next);
    }
    m_hosts[request.m_host].m_room.OnResponse(
        kind.m_name, m_now - request.m_started_at, kind.m_target,
        {.m_waiting = static_cast<std::uint32_t>(upstream.m_queue.size()),
         .m_slots = kModelSlots},
        m_now);
    const bool is_in_time = m_now - request.m_first_at <= kind.m_target;
    if (m_now <= request.m_arrived_at + kind.m_time_limit) {
      CountOf(request, [is_in_time](ModelCount& count) {
        ++(is_in_time ? count.m_in_time : count.m_late);
      });
    }
    End(id);
  }

  void End(std::size_t id) {
    const Request& request = m_requests[id];
    --m_upstreams[request.m_upstream].m_sent[request.m_host];
    m_hosts[request.m_host].m_room.Release(m_now);
    Wake(request.m_host);
  }

  template <class F>
  void CountOf(const Request& request, F count) {
    count(m_result.m_by_kind[request.m_kind]);
    count(m_result.m_by_tenant[{request.m_kind, request.m_tenant}]);
    count(request.m_is_abusive ? m_result.m_abusive : m_result.m_orderly);
  }

  static constexpr nanoseconds kStart = std::chrono::hours(1);

  const OverloadParameters m_parameters;
  steering::FastRandom m_random;
  std::vector<Host> m_hosts;
  std::vector<Upstream> m_upstreams;
  std::vector<Request> m_requests;
  std::priority_queue<Event> m_events;
  std::uint64_t m_next_sequence = 0;
  MonoTime m_now = MonoTime{} + kStart;
  ModelResult m_result;
};

}  // namespace jujube::bench
