#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <vector>

#include <gtest/gtest.h>

#include "control/command.h"
#include "control/proposal.h"
#include "limits/allotment_holder.h"
#include "limits/lease_clock.h"
#include "limits/planner.h"
#include "unit/random_schedule.h"
#include "unit/sample_deployment.h"

namespace jujube::limits {
namespace {

using control::StateMachine;
using jujube::testing::Step;
using std::chrono::milliseconds;

const LimitId region_limit = RegionLimit({"luzon"});
const LimitId link_limit = LinkLimit({"luzon"}, {"visayas"});
const LimitId slot_limit = SlotLimit({"pumplog"}, {"i1"});
const std::vector<LimitId> all_limits = {region_limit, link_limit, slot_limit};

// Simulates three entry hosts with separate clocks, a network that delays,
// loses and reorders messages, and changes of leader. A suspended or isolated
// host is one that the schedule does not select; the units that it could use
// when it resumes are counted.
class Simulation {
 public:
  Simulation() {
    for (std::size_t i = 0; i < 3; ++i)
      StartHost(i);
    m_lease_clock.OnElected(0, m_now);
    CommitDocument();
  }

  void RunStep(const Step& step) {
    const std::size_t host = step.m_host % m_hosts.size();
    // Actions with several numbers are run more often.
    switch (step.m_action % 16) {
      case 0:
      case 1:
        m_now += milliseconds(step.m_amount * 20);
        break;
      case 2:
      case 3:
      case 4:
        m_pending_requests.push_back(m_hosts[host].m_holder->NextRequest(
            m_state.Config().FeedIndex(), HostTime(host)));
        break;
      case 5:
      case 6:
      case 7:
        HandleRequests(step.m_amount);
        break;
      case 8:
      case 9:
      case 10:
        DeliverReply(step.m_amount);
        break;
      case 11:
        AcquireUnits(host, step.m_amount);
        break;
      case 12:
        m_hosts[host].m_permits.clear();
        break;
      case 13:
        ElectLeader();
        break;
      case 14:
        ChangeDocument(step.m_amount);
        break;
      default:
        RestartOrRemove(host, step.m_amount);
    }
  }

  void CheckInvariant() {
    const Ledger& ledger = m_state.Ledger();
    for (const LimitId& limit : all_limits) {
      std::uint64_t usable = 0;
      for (std::size_t i = 0; i < m_hosts.size(); ++i) {
        usable += m_hosts[i].m_holder->Table()->Usable(limit, HostTime(i));
      }
      RC_ASSERT(usable <= ledger.ReservedUnits(limit));
      // Above the cap, only units granted under a higher one may be usable; the
      // bound falls with the reserved units.
      const std::uint64_t cap = ledger.CapOf(limit);
      std::uint64_t& max_usable = m_max_usable[limit];
      max_usable =
          std::max(cap, std::min(max_usable, ledger.ReservedUnits(limit)));
      RC_ASSERT(usable <= max_usable);
    }
  }

 private:
  struct Host {
    HostId m_name;
    std::uint64_t m_incarnation = 0;
    std::unique_ptr<AllotmentHolder> m_holder;
    std::vector<Permit> m_permits;
  };
  struct Reply {
    std::size_t m_host = 0;
    std::uint64_t m_incarnation = 0;
    AllotmentReply m_reply;
  };

  // The clock of e2 runs 1% slower than the leader's, the maximum drift that
  // the lease margin covers.
  MonoTime HostTime(std::size_t host) const {
    const auto time_since_start = m_now.time_since_epoch();
    return host == 1 ? MonoTime(time_since_start * 100 / 101) : m_now;
  }

  void StartHost(std::size_t i) {
    Host& host = m_hosts[i];
    host.m_permits.clear();
    host.m_name = {"e" + std::to_string(i + 1)};
    ++host.m_incarnation;
    host.m_holder =
        std::make_unique<AllotmentHolder>(host.m_name, host.m_incarnation);
    host.m_holder->Track({region_limit});
    host.m_holder->Track({link_limit});
    host.m_holder->Track({slot_limit, m_slot_cap, {"luz-a"}});
  }

  template <class Message>
  control::CommandResult Commit(const Message& message) {
    const auto entry = control::MakeCommand(message, UnixMillis(1));
    return m_state.Apply(++m_index, entry).value();
  }

  void CommitDocument() {
    const auto proposal = control::PrepareApply(m_state, m_document, "test");
    Commit(proposal.m_command);
  }

  // Handles some of the pending requests, from either end; the others stay
  // delayed.
  void HandleRequests(std::uint8_t amount) {
    std::vector<HostId> hosts;
    for (int i = 0; i < amount % 4 && !m_pending_requests.empty(); ++i) {
      const bool is_newest_first = amount % 2 == 0;
      const AllotmentRequest request = is_newest_first
                                           ? m_pending_requests.back()
                                           : m_pending_requests.front();
      if (is_newest_first)
        m_pending_requests.pop_back();
      else
        m_pending_requests.pop_front();
      if (m_planner.OnRequest(request, m_now))
        hosts.push_back(request.m_host);
    }
    std::ranges::sort(hosts);
    hosts.erase(std::unique(hosts.begin(), hosts.end()), hosts.end());
    const RenewCommand command{
        .m_expired_index = m_lease_clock.ExpiredThrough(m_now),
        .m_renewals =
            m_planner.Plan(hosts, m_state.Topology(), m_state.Ledger(), m_now)};
    const auto result = Commit(command);
    m_lease_clock.OnCommitted(m_index, m_now);
    for (const auto& answer :
         std::get<control::RenewAnswers>(result.m_answer)) {
      const std::size_t host = answer.m_host.m_value[1] - '1';
      m_replies.push_back({host, answer.m_incarnation, answer.m_reply});
    }
  }

  // Delivers a reply, possibly an old one. Replies are kept, so that one may be
  // delivered twice.
  void DeliverReply(std::uint8_t amount) {
    if (m_replies.empty())
      return;
    const std::size_t position =
        amount % 3 == 0 ? amount % m_replies.size() : m_replies.size() - 1;
    const Reply& reply = m_replies[position];
    Host& host = m_hosts[reply.m_host];
    if (reply.m_incarnation == host.m_incarnation)
      host.m_holder->OnReply(reply.m_reply);
  }

  void AcquireUnits(std::size_t i, std::uint8_t amount) {
    const LimitId& limit = amount % 2 == 0 ? region_limit : slot_limit;
    Permit permit = m_hosts[i].m_holder->Table()->TryAcquire(
        limit, amount % 8 + 1, HostTime(i));
    if (permit)
      m_hosts[i].m_permits.push_back(std::move(permit));
  }

  void ElectLeader() {
    m_planner.Clear();
    m_lease_clock.OnElected(m_index, m_now);
  }

  void ChangeDocument(std::uint8_t amount) {
    ++m_document.m_number;
    m_document.m_regions[0].m_max_in_progress = amount % 50 + 1;
    m_document.m_links[0].m_capacity_kbit_s = amount * 10 + 1;
    auto& hosts = m_document.m_entry_hosts;
    hosts = jujube::testing::SampleDeployment().m_entry_hosts;
    if (amount % 4 == 0)
      hosts.erase(hosts.begin() + amount / 4 % 3);
    m_slot_cap = amount % 9 + 1;
    for (Host& host : m_hosts)
      host.m_holder->Track({slot_limit, m_slot_cap, {"luz-a"}});
    CommitDocument();
  }

  void RestartOrRemove(std::size_t i, std::uint8_t amount) {
    if (amount % 3 == 0)
      Commit(RemoveHostCommand{.m_host = m_hosts[i].m_name});
    StartHost(i);
  }

  MonoTime m_now{std::chrono::seconds(1000)};
  StateMachine m_state;
  Deployment m_document = jujube::testing::SampleDeployment();
  std::uint64_t m_index = 0;
  std::uint64_t m_slot_cap = 5;
  Planner m_planner;
  LeaseClock m_lease_clock;
  std::array<Host, 3> m_hosts;
  std::deque<AllotmentRequest> m_pending_requests;
  std::vector<Reply> m_replies;
  std::map<LimitId, std::uint64_t> m_max_usable;
};

// Guards against exceeding a cap because a host that the leader cannot reach
// still uses its allotment.
TEST(LimitsSchedule, SumOfSharesStaysUnderTheCap) {
  jujube::testing::CheckSchedules(300, [](const std::vector<Step>& steps) {
    Simulation simulation;
    simulation.CheckInvariant();
    for (const Step& step : steps) {
      simulation.RunStep(step);
      simulation.CheckInvariant();
    }
  });
}

}  // namespace
}  // namespace jujube::limits
