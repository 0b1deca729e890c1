#include <algorithm>
#include <chrono>
#include <map>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "config/digest.h"
#include "control/command.h"
#include "control/proposal.h"
#include "control/shift_driver.h"
#include "control/state_machine.h"
#include "lookup/address.h"
#include "lookup/table.h"
#include "steering/shift_state.h"

namespace jujube::control {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint16_t kMaxPermillePerMinute = 100;
constexpr int kBlocks = 400;

// Two regions with one entry host each. The first is the home of all callers.
Deployment MakeTwoRegionDeployment() {
  Deployment deployment{.m_number = 1, .m_name = "test"};
  deployment.m_shift.m_max_permille_per_minute = kMaxPermillePerMinute;
  std::uint16_t port = 8000;
  for (const std::string name : {"a", "b"}) {
    deployment.m_regions.push_back(
        {.m_name = {name}, .m_max_in_progress = 100});
    deployment.m_availability_zones.push_back(
        {.m_name = {name + "-1"}, .m_region = {name}});
    deployment.m_sites.push_back(
        {.m_name = {"site-" + name}, .m_availability_zone = {name + "-1"}});
    deployment.m_entry_hosts.push_back(
        {.m_name = {"entry-" + name},
         .m_availability_zone = {name + "-1"},
         .m_caller = {.m_address = "127.0.0.1", .m_port = port++},
         .m_peer = {.m_address = "127.0.0.1", .m_port = port++}});
  }
  deployment.m_links.push_back({.m_a = {"a"},
                                .m_b = {"b"},
                                .m_capacity_kbit_s = 1000,
                                .m_delay = milliseconds(10)});
  deployment.m_services.push_back({.m_name = {"s"}});
  for (int i = 0; i < kBlocks; ++i) {
    deployment.m_blocks.push_back({.m_prefix = "10." + std::to_string(i / 256) +
                                               "." + std::to_string(i % 256) +
                                               ".0/24",
                                   .m_site = {"site-a"}});
  }
  return deployment;
}

// A state machine with two registered entry hosts, and the ShiftDriver of the
// leader.
class ShiftTest : public ::testing::Test {
 protected:
  void SetUp() override {
    const Deployment deployment =
        config::CanonicalDeployment(MakeTwoRegionDeployment());
    const ApplyProposal proposal = PrepareApply(m_state, deployment, "test");
    ASSERT_FALSE(proposal.m_answer) << proposal.m_answer->m_problems.front();
    Apply(MakeCommand(proposal.m_command, m_wall_time));
    RenewAll();
  }

  void Apply(const std::string& command) {
    ASSERT_TRUE(m_state.Apply(m_state.AppliedIndex() + 1, command));
  }

  void RenewAll() {
    ++m_sequence;
    RenewCommand command;
    for (const std::string host : {"entry-a", "entry-b"}) {
      command.m_renewals.push_back(
          {.m_host = {host}, .m_incarnation = 1, .m_sequence = m_sequence});
    }
    Apply(MakeCommand(command, m_wall_time));
  }

  void ReportLoad(const std::string& host, std::uint64_t in_use) {
    AllotmentRequest request{.m_host = {host}, .m_incarnation = 1};
    request.m_demands.push_back(
        {.m_limit = {.m_kind = LimitKind::kRegion, .m_name = host.substr(6)},
         .m_in_use = in_use});
    m_driver.OnRequest(request, m_now);
  }

  // Advances the clocks by one second with these loads at the entry hosts and
  // applies the next step, if any. Returns the permille of callers that moved.
  int AdvanceOneSecond(std::uint64_t load_a, std::uint64_t load_b) {
    m_now += seconds(1);
    m_wall_time += seconds(1);
    ReportLoad("entry-a", load_a);
    ReportLoad("entry-b", load_b);
    const int before = PermilleInRegionB();
    const auto step = m_driver.NextStep(m_state, m_now, m_wall_time);
    if (step)
      Apply(MakeCommand(*step, m_wall_time));
    return std::abs(PermilleInRegionB() - before);
  }

  int PermilleInRegionB() const {
    for (const auto& source :
         steering::ToShiftPlan(m_state.Config().ShiftInForce()).m_sources) {
      if (source.m_source == RegionId{"a"})
        return static_cast<int>(steering::ShareOf(source, {"b"}));
    }
    return 0;
  }

  void SetDrainOfRegionA(bool is_active) {
    const DrainCommand command{
        .m_drain = {.m_kind = DrainKind::kRegion, .m_name = "a"},
        .m_active = is_active};
    Apply(MakeCommand(command, m_wall_time));
  }

  int CountBlocksSteeredTo(const std::string& host) const {
    const FeedState feed = m_state.Feed();
    const auto table = lookup::Table::Build(
        feed.m_deployment, steering::DrainsInForce(feed.m_drains, feed.m_shift),
        feed.m_shift);
    int count = 0;
    for (int i = 0; i < kBlocks; ++i) {
      const auto caller =
          lookup::ParseAddress("10." + std::to_string(i / 256) + "." +
                               std::to_string(i % 256) + ".7");
      const LookupAnswer answer = table.value().Find({"s"}, caller.value());
      count += answer.m_hosts.front().m_host.m_value == host;
    }
    return count;
  }

  StateMachine m_state;
  ShiftDriver m_driver;
  MonoTime m_now{std::chrono::hours(1)};
  UnixMillis m_wall_time{1'000'000'000};
  std::uint64_t m_sequence = 0;
};

// Guards against a region drain that moves all callers of the region at once.
TEST_F(ShiftTest, RegionDrainMovesCallersWithinTheLimitAndThenTakesEffect) {
  SetDrainOfRegionA(true);
  EXPECT_EQ(CountBlocksSteeredTo("entry-a"), kBlocks);
  std::vector<int> moved;
  for (int i = 0; i < 1200 && PermilleInRegionB() < 1000; ++i) {
    moved.push_back(AdvanceOneSecond(10, 10));
    int moved_in_last_minute = 0;
    for (std::size_t j = moved.size() > 60 ? moved.size() - 60 : 0;
         j < moved.size(); ++j)
      moved_in_last_minute += moved[j];
    ASSERT_LE(moved_in_last_minute, kMaxPermillePerMinute) << "second " << i;
  }
  EXPECT_EQ(PermilleInRegionB(), 1000);
  EXPECT_EQ(CountBlocksSteeredTo("entry-b"), kBlocks);
  const FeedState feed = m_state.Feed();
  EXPECT_EQ(steering::DrainsInForce(feed.m_drains, feed.m_shift).size(), 1U);
}

// Guards against moving all callers back at once when a region drain ends.
TEST_F(ShiftTest, EndOfRegionDrainMovesCallersBackWithinTheLimit) {
  SetDrainOfRegionA(true);
  for (int i = 0; i < 1200 && PermilleInRegionB() < 1000; ++i)
    AdvanceOneSecond(10, 10);
  SetDrainOfRegionA(false);
  std::vector<int> moved;
  for (int i = 0; i < 1200 && PermilleInRegionB() > 0; ++i) {
    moved.push_back(AdvanceOneSecond(10, 10));
    int moved_in_last_minute = 0;
    for (std::size_t j = moved.size() > 60 ? moved.size() - 60 : 0;
         j < moved.size(); ++j)
      moved_in_last_minute += moved[j];
    ASSERT_LE(moved_in_last_minute, kMaxPermillePerMinute) << "second " << i;
  }
  EXPECT_EQ(PermilleInRegionB(), 0);
  EXPECT_EQ(CountBlocksSteeredTo("entry-a"), kBlocks);
}

// Guards against moving callers to a remaining region without free capacity.
TEST_F(ShiftTest, FullSurvivingRegionReceivesNoCallers) {
  SetDrainOfRegionA(true);
  for (int i = 0; i < 120; ++i)
    AdvanceOneSecond(50, 90);
  EXPECT_EQ(PermilleInRegionB(), 0);
}

// Guards against taking a load sum that lacks the report of one host for free
// capacity.
TEST_F(ShiftTest, MissingReportOfALiveHostStopsTheShift) {
  SetDrainOfRegionA(true);
  for (int i = 0; i < 60; ++i) {
    m_now += seconds(1);
    m_wall_time += seconds(1);
    ReportLoad("entry-a", 10);
    EXPECT_FALSE(m_driver.NextStep(m_state, m_now, m_wall_time));
  }
}

// Guards against applying a step to a later state than it was planned for, for
// example a step of a deposed leader.
TEST_F(ShiftTest, StepForAnotherFeedIndexChangesNothing) {
  SetDrainOfRegionA(true);
  for (int i = 0; i < 30 && PermilleInRegionB() == 0; ++i)
    AdvanceOneSecond(10, 10);
  ASSERT_GT(PermilleInRegionB(), 0);
  const ShiftState before = m_state.Config().ShiftInForce();
  const ShiftCommand outdated_step{.m_feed_index =
                                       m_state.Config().FeedIndex() - 1};
  Apply(MakeCommand(outdated_step, m_wall_time));
  EXPECT_EQ(m_state.Config().ShiftInForce(), before);
}

// Guards against a new leader that ignores the moves of the last minute and
// exceeds the limit.
TEST_F(ShiftTest, NewLeaderCountsMovesOfThePreviousLeader) {
  SetDrainOfRegionA(true);
  int moved = 0;
  for (int i = 0; i < 55; ++i) {
    moved += AdvanceOneSecond(10, 10);
    if (i % 7 == 0)
      m_driver.Clear();
  }
  EXPECT_GT(moved, 0);
  EXPECT_LE(moved, kMaxPermillePerMinute);
}

// Guards against exceeding the shift limit with a document, or with several
// documents within one minute.
TEST_F(ShiftTest, DocumentsMoveCallersWithinTheLimit) {
  Deployment next = m_state.Config().Document();
  const auto move_blocks = [&](int from, int to) {
    for (int i = from; i < to; ++i)
      next.m_blocks[static_cast<std::size_t>(i)].m_site = {"site-b"};
    ++next.m_number;
    return PrepareApply(m_state, next, "test");
  };
  const ApplyProposal small = move_blocks(0, kBlocks * 6 / 100);
  ASSERT_FALSE(small.m_answer);
  Apply(MakeCommand(small.m_command, m_wall_time));
  m_wall_time += seconds(30);
  RenewAll();
  ApplyProposal second = move_blocks(kBlocks * 6 / 100, kBlocks * 12 / 100);
  ASSERT_TRUE(second.m_answer);
  EXPECT_EQ(second.m_answer->m_outcome, ApplyOutcome::kInvalid);
  m_wall_time += seconds(31);
  RenewAll();
  second = PrepareApply(m_state, next, "test");
  ASSERT_FALSE(second.m_answer);
  Apply(MakeCommand(second.m_command, m_wall_time));
  EXPECT_EQ(m_state.Config().Document().m_number, next.m_number);
}

}  // namespace
}  // namespace jujube::control
