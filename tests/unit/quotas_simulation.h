// Simulates the leader of the control hosts and entry hosts that exchange
// quotas over a network that delays, loses and cuts messages.

#pragma once

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "quotas/quota_bound.h"
#include "quotas/quota_holder.h"
#include "quotas/quota_ledger.h"
#include "quotas/quota_timing.h"

namespace jujube::quotas::testing {

using std::chrono::milliseconds;

inline Tenant LimitedTenant(const std::string& name,
                            std::uint64_t per_s,
                            std::uint64_t burst) {
  return {
      .m_name = {name}, .m_requests_per_1000s = per_s * 1000, .m_burst = burst};
}

class Simulation {
 public:
  struct Traffic {
    std::uint64_t m_accepted = 0;
    std::uint64_t m_refused = 0;
  };

  Simulation(std::size_t hosts, std::vector<Tenant> tenants)
      : m_hosts(hosts), m_tenants(std::move(tenants)) {
    for (std::size_t i = 0; i < hosts; ++i)
      Restart(i);
    Elect();
  }

  // A new leader. The one before it is cut off, and grants until
  // kConfirmationBound after its last confirmation.
  void Elect() {
    m_old_leader = std::move(m_leader);
    m_old_confirmed_at = m_now;
    m_old_leader_number = m_leader_number++;
    m_leader = std::make_unique<QuotaLedger>(m_settings);
    m_leader->StartTerm(m_now + kConfirmationBound);
    m_leader->SetTenants(m_tenants, m_now);
  }
  void SetTenants(std::vector<Tenant> tenants) {
    m_tenants = std::move(tenants);
    m_leader->SetTenants(m_tenants, m_now);
    for (Host& host : m_hosts)
      host.m_holder->SetTenants(m_tenants);
  }
  void Restart(std::size_t i) {
    Host& host = m_hosts[i];
    ++host.m_incarnation;
    host.m_holder = std::make_unique<QuotaHolder>(
        HostId{"e" + std::to_string(i)}, host.m_incarnation);
    host.m_holder->SetTenants(m_tenants);
    host.m_heard_leader = 0;
    host.m_frozen_until = MonoTime{};
  }
  void Cut(std::size_t i, milliseconds time) {
    m_hosts[i].m_cut_until = m_now + time;
  }
  void Freeze(std::size_t i, milliseconds time) {
    m_hosts[i].m_frozen_until = m_now + time;
  }
  // The host hears the earlier leader again for a moment.
  void HearOldLeader(std::size_t i) {
    if (m_old_leader)
      m_hosts[i].m_holder->OnLeader(LeaderOf(m_old_leader_number),
                                    m_old_confirmed_at);
  }
  void SetLoss(unsigned one_in) { m_loss_one_in = one_in; }

  // Requests of a tenant that arrive at a host now.
  Traffic Request(std::size_t host, std::size_t tenant, std::uint32_t count) {
    Traffic traffic;
    if (m_now < m_hosts[host].m_frozen_until)
      return traffic;
    const auto cell = m_hosts[host].m_holder->Table()->CellOf(
        static_cast<tenants::TenantIndex>(tenant));
    if (!cell)
      return {.m_accepted = count};
    for (std::uint32_t i = 0; i < count; ++i) {
      if (cell->TrySpend(m_now)) {
        ++traffic.m_accepted;
      } else if (cell->MayWait(m_now)) {
        cell->Want();
        m_waiting.push_back({.m_host = host,
                             .m_incarnation = m_hosts[host].m_incarnation,
                             .m_tenant = m_tenants[tenant].m_name,
                             .m_until = m_now + kMaxTokenWait,
                             .m_cell = cell});
      } else {
        ++traffic.m_refused;
        (void)cell->Refuse(Random(), m_now);
      }
    }
    CountAccepted(m_tenants[tenant].m_name, traffic.m_accepted);
    return traffic;
  }
  // Outcomes of requests that waited, since the last call.
  std::map<TenantId, Traffic> TakeWaited() {
    return std::exchange(m_waited, {});
  }

  // Advances time in ticks of 10 ms. Hosts look for waiting requests in each,
  // and for other reports in every fifth.
  void Run(milliseconds time) {
    const MonoTime end = m_now + time;
    while (m_now < end) {
      m_now += milliseconds(10);
      ++m_tick;
      Deliver();
      RetryWaiting();
      for (std::size_t i = 0; i < m_hosts.size(); ++i)
        Tick(i);
    }
  }

  // Most requests of the tenant that were accepted in any window.
  std::uint64_t MaxAccepted(const TenantId& tenant) const {
    const auto found = m_accepted.find(tenant);
    if (found == m_accepted.end())
      return 0;
    std::uint64_t most = 0;
    std::uint64_t sum = 0;
    std::size_t first = 0;
    for (const auto& [at, count] : found->second) {
      sum += count;
      while (found->second[first].first < at - m_settings.m_window)
        sum -= found->second[first++].second;
      most = std::max(most, sum);
    }
    return most;
  }
  // Tokens that hosts may spend now, and those that the leader may grant.
  double Usable(const TenantId& tenant) const {
    double usable = m_leader->Level(TenantKey(tenant));
    for (const Host& host : m_hosts) {
      for (std::size_t i = 0; i < m_tenants.size(); ++i) {
        const auto cell = host.m_holder->Table()->CellOf(
            static_cast<tenants::TenantIndex>(i));
        if (cell && m_tenants[i].m_name == tenant && cell->HasRoom(m_now))
          usable += cell->Count().Left();
      }
    }
    return usable;
  }
  void ForgetAccepted() { m_accepted.clear(); }

  const QuotaSettings& Settings() const { return m_settings; }
  const std::vector<Tenant>& Tenants() const { return m_tenants; }
  std::size_t HostCount() const { return m_hosts.size(); }
  const QuotaLedger& Leader() const { return *m_leader; }
  std::uint64_t Bytes() const { return m_bytes; }
  MonoTime Now() const { return m_now; }

  std::uint64_t Random() {
    // xorshift: the same numbers in every run.
    m_random ^= m_random << 13;
    m_random ^= m_random >> 7;
    m_random ^= m_random << 17;
    return m_random;
  }

 private:
  struct Host {
    std::unique_ptr<QuotaHolder> m_holder;
    std::uint64_t m_incarnation = 0;
    std::uint64_t m_heard_leader = 0;
    MonoTime m_cut_until{};
    MonoTime m_frozen_until{};
    std::deque<std::pair<std::uint64_t, QuotaGrant>> m_unread;  // while frozen
  };
  struct Message {
    MonoTime m_arrives_at;
    std::size_t m_host = 0;
    std::uint64_t m_incarnation = 0;
    std::uint64_t m_leader = 0;
    std::optional<QuotaReport> m_report;  // to the leader
    std::optional<QuotaGrant> m_grant;    // to the host
  };

  struct Waiting {
    std::size_t m_host = 0;
    std::uint64_t m_incarnation = 0;
    TenantId m_tenant;
    MonoTime m_until;
    std::shared_ptr<QuotaCell> m_cell;
  };

  static QuotaLeader LeaderOf(std::uint64_t number) {
    return {.m_host = {"c" + std::to_string(number)}, .m_incarnation = number};
  }
  bool IsLost() { return m_loss_one_in > 0 && Random() % m_loss_one_in == 0; }

  void Tick(std::size_t i) {
    Host& host = m_hosts[i];
    if (m_now < host.m_frozen_until)
      return;
    while (!host.m_unread.empty()) {
      host.m_holder->OnGrant(LeaderOf(host.m_unread.front().first),
                             host.m_unread.front().second);
      host.m_unread.pop_front();
    }
    const bool is_cut = m_now < host.m_cut_until;
    if (!is_cut && host.m_heard_leader != m_leader_number) {
      host.m_heard_leader = m_leader_number;
      host.m_holder->OnLeader(LeaderOf(m_leader_number), m_now);
    }
    if (m_tick % 5 != 0 && !host.m_holder->IsReportWanted())
      return;
    std::optional<QuotaReport> report = host.m_holder->NextReport(m_now);
    if (!report || is_cut || IsLost())
      return;
    m_bytes += 68 + 20 * report->m_uses.size();
    const std::uint64_t leader =
        host.m_holder->Leader() == LeaderOf(m_leader_number)
            ? m_leader_number
            : m_old_leader_number;
    m_messages.push_back({.m_arrives_at = m_now + Delay(),
                          .m_host = i,
                          .m_incarnation = host.m_incarnation,
                          .m_leader = leader,
                          .m_report = std::move(report)});
  }

  milliseconds Delay() { return milliseconds(10 * (Random() % 4)); }

  QuotaLedger* LedgerOf(std::uint64_t number) {
    if (number == m_leader_number)
      return m_leader.get();
    const bool is_confirmed = m_now - m_old_confirmed_at < kConfirmationBound;
    return number == m_old_leader_number && is_confirmed ? m_old_leader.get()
                                                         : nullptr;
  }

  void CountAccepted(const TenantId& tenant, std::uint64_t count) {
    if (count > 0)
      m_accepted[tenant].emplace_back(m_now, count);
  }
  void RetryWaiting() {
    std::deque<Waiting> waiting = std::exchange(m_waiting, {});
    for (Waiting& request : waiting) {
      const Host& host = m_hosts[request.m_host];
      if (request.m_incarnation != host.m_incarnation)
        continue;
      if (m_now < host.m_frozen_until) {
        m_waiting.push_back(std::move(request));
      } else if (request.m_cell->TrySpend(m_now)) {
        CountAccepted(request.m_tenant, 1);
        ++m_waited[request.m_tenant].m_accepted;
      } else if (m_now < request.m_until && request.m_cell->MayWait(m_now)) {
        m_waiting.push_back(std::move(request));
      } else {
        (void)request.m_cell->Refuse(Random(), m_now);
        ++m_waited[request.m_tenant].m_refused;
      }
    }
  }

  void Deliver() {
    std::deque<Message> messages = std::exchange(m_messages, {});
    for (Message& message : messages) {
      if (message.m_arrives_at > m_now) {
        m_messages.push_back(std::move(message));
        continue;
      }
      Host& host = m_hosts[message.m_host];
      if (m_now < host.m_cut_until)
        continue;
      if (message.m_grant) {
        if (message.m_incarnation == host.m_incarnation)
          host.m_unread.emplace_back(message.m_leader, *message.m_grant);
        continue;
      }
      QuotaLedger* ledger = LedgerOf(message.m_leader);
      if (ledger == nullptr)
        continue;
      auto grant = ledger->OnReport(
          *message.m_report, {"z" + std::to_string(message.m_host % 6)}, m_now);
      if (!grant || IsLost())
        continue;
      m_bytes += 68 + 12 * grant->m_shares.size();
      m_messages.push_back({.m_arrives_at = m_now + Delay(),
                            .m_host = message.m_host,
                            .m_incarnation = message.m_incarnation,
                            .m_leader = message.m_leader,
                            .m_grant = std::move(grant)});
    }
  }

  const QuotaSettings m_settings;
  MonoTime m_now{std::chrono::seconds(1000)};
  std::vector<Host> m_hosts;
  std::vector<Tenant> m_tenants;
  std::unique_ptr<QuotaLedger> m_leader;
  std::uint64_t m_leader_number = 0;
  std::unique_ptr<QuotaLedger> m_old_leader;
  std::uint64_t m_old_leader_number = 0;
  MonoTime m_old_confirmed_at{};
  std::deque<Message> m_messages;
  unsigned m_loss_one_in = 0;
  std::map<TenantId, std::vector<std::pair<MonoTime, std::uint64_t>>>
      m_accepted;
  std::deque<Waiting> m_waiting;
  std::map<TenantId, Traffic> m_waited;
  std::uint64_t m_bytes = 0;
  std::uint64_t m_tick = 0;
  std::uint64_t m_random = 88172645463325252ULL;
};

}  // namespace jujube::quotas::testing
