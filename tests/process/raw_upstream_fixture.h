// RawUpstreamTest: a system with one instance of service "log", whose
// connections the test serves.

#pragma once

#include <cstdint>
#include <string>

#include <gtest/gtest.h>

#include "process/process_harness.h"
#include "process/raw_socket.h"
#include "process/request_announcer.h"
#include "process/request_fixture.h"

namespace jujube::testing {

inline constexpr char kEndOfHead[] = "\r\n\r\n";

class RawUpstreamTest : public ::testing::Test {
 protected:
  explicit RawUpstreamTest(const SystemOptions& options = {},
                           int backlog = 16,
                           std::uint16_t slots = 12)
      : m_system(options),
        m_endpoint(process::ReserveEndpoint()),
        m_listener(RawSocket::Listen(m_endpoint, backlog)),
        m_announcer(m_system, 0, MakeAnnouncement(slots)) {
    m_system.WaitUntilServing();
  }

  RawSocket ConnectCaller() const {
    return RawSocket::Connect(m_system.SettingsOfEntry(0).m_caller);
  }

  // Sends a GET request on a caller's connection. The deadline is long, since
  // its expiry would end the exchange as well.
  static void SendGet(const RawSocket& caller, const std::string& target) {
    caller.Send("GET /s/log" + target +
                " HTTP/1.1\r\nHost: x\r\nJujube-Deadline-Ms: 600000\r\n\r\n");
  }
  void SendGet(const std::string& target) const { SendGet(m_caller, target); }

  RawSocket AcceptRequest() const {
    RawSocket connection = m_listener.Accept();
    EXPECT_TRUE(connection.ReadUntil(kEndOfHead));
    return connection;
  }

  Announcement MakeAnnouncement(std::uint16_t slots) const {
    Announcement announcement = m_system.AnnouncementOf("u0", m_endpoint);
    announcement.m_slots = slots;
    return announcement;
  }

  RequestSystem m_system;
  Endpoint m_endpoint;
  RawSocket m_listener;
  RequestAnnouncer m_announcer;
  RawSocket m_caller = ConnectCaller();
};

}  // namespace jujube::testing
