// Tests of RoomKeeper with callers on loopback.

#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "entry/room_keeper.h"
#include "net/http_exchange.h"
#include "net/http_listener.h"
#include "unit/net_support.h"

namespace jujube::entry {
namespace {

using overload::RoomAnswer;
using std::chrono::hours;
using std::chrono::milliseconds;

// A service with room for one request, which is in progress. Each caller that
// connects and sends a request has to wait.
class RoomKeeperTest : public ::testing::Test {
 protected:
  RoomKeeperTest() {
    m_thread.Run([this] {
      m_keeper =
          std::make_unique<RoomKeeper>(m_thread.Context().get_executor());
      m_state = &m_keeper->ForService({.m_service = {.m_name = {"log"}}}, 1,
                                      MonoClock::now());
      m_keeper->Ask(*m_state, NextRequest(), MonoClock::now(), &m_ticket);
      m_listener = std::make_unique<net::HttpListener>(
          m_thread.Context(),
          [this](net::HttpExchange& exchange) { return Handle(exchange); });
      m_port = m_listener->Listen({.m_port = 0}).value();
    });
  }
  ~RoomKeeperTest() override {
    m_thread.Run([this] {
      m_listener.reset();
      m_ticket.Reset();
    });
  }

  overload::RoomRequest NextRequest() {
    return {.m_id = m_keeper->NextId(),
            .m_priority = 8,
            .m_expected_response = milliseconds(1),
            .m_target_at = MonoClock::now() + m_target,
            .m_deadline = MonoClock::now() + hours(2)};
  }

  // Statements expire within seconds, so they are repeated while a test waits.
  void StateQueues() {
    for (int i = 0; i < 20; ++i) {
      m_state->m_room.OnResponse("route", milliseconds(1), milliseconds(1),
                                 {.m_waiting = 8, .m_slots = 4},
                                 MonoClock::now());
    }
  }

  boost::asio::awaitable<void> Handle(net::HttpExchange& exchange) {
    StateQueues();
    const overload::RoomRequest request = NextRequest();
    RoomTicket ticket;
    const auto decision =
        m_keeper->Ask(*m_state, request, MonoClock::now(), &ticket);
    EXPECT_EQ(decision.m_answer, RoomAnswer::kWait);
    const std::function<bool()> is_stopping = [this] { return m_is_stopping; };
    const WaitOutcome outcome = co_await m_keeper->Wait(
        exchange, *m_state, request, true, is_stopping, &ticket);
    m_outcomes.push_back(outcome);
    m_in_progress = m_state->m_room.InProgress();
  }

  boost::asio::ip::tcp::socket Call() {
    boost::asio::ip::tcp::socket caller(m_callers);
    caller.connect({boost::asio::ip::address_v4::loopback(), m_port});
    boost::asio::write(
        caller,
        boost::asio::buffer(std::string("GET / HTTP/1.1\r\nHost: x\r\n\r\n")));
    return caller;
  }
  void WaitUntilWaiting() {
    m_thread.WaitUntil([this] { return m_state->m_room.HasWaiting(); });
  }
  WaitOutcome Outcome() {
    m_thread.WaitUntil([this] {
      StateQueues();
      return !m_outcomes.empty();
    });
    return m_outcomes.front();
  }

  net::test::IoThread m_thread;
  boost::asio::io_context m_callers;
  std::unique_ptr<RoomKeeper> m_keeper;
  ServiceRoomState* m_state = nullptr;
  RoomTicket m_ticket;
  std::unique_ptr<net::HttpListener> m_listener;
  std::uint16_t m_port = 0;
  std::chrono::nanoseconds m_target = hours(1);
  bool m_is_stopping = false;
  std::vector<WaitOutcome> m_outcomes;
  std::uint32_t m_in_progress = 0;
};

// Guards against a request that sleeps on although room was given back.
TEST_F(RoomKeeperTest, EndOfARequestWakesTheNext) {
  const auto caller = Call();
  WaitUntilWaiting();
  m_thread.Run([this] { m_ticket.Reset(); });
  EXPECT_EQ(Outcome(), RoomAnswer::kGo);
  EXPECT_EQ(m_in_progress, 1U);
  // The ticket of the caller gave the room back.
  m_thread.WaitUntil([this] { return m_state->m_room.InProgress() == 0; });
}

// Guards against a caller that left and still keeps its place.
TEST_F(RoomKeeperTest, CallerThatLeftIsTakenOut) {
  auto caller = Call();
  WaitUntilWaiting();
  caller.close();
  EXPECT_EQ(Outcome(), std::nullopt);
  EXPECT_FALSE(m_state->m_room.HasWaiting());
  EXPECT_EQ(m_in_progress, 1U);
}

// Guards against a planned stop that waits for those who wait.
TEST_F(RoomKeeperTest, PlannedStopEndsTheWait) {
  const auto caller = Call();
  WaitUntilWaiting();
  m_thread.Run([this] { m_is_stopping = true; });
  EXPECT_EQ(Outcome(), RoomAnswer::kHostStops);
}

// Guards against a wait beyond the time at which the response would be late.
TEST_F(RoomKeeperTest, LatestStartEndsTheWait) {
  m_target = milliseconds(500);
  const auto caller = Call();
  EXPECT_EQ(Outcome(), RoomAnswer::kWaitedTooLong);
  EXPECT_FALSE(m_state->m_room.HasWaiting());
}

}  // namespace
}  // namespace jujube::entry
