// FixedResponseUpstream: answers each request with the same bytes and closes
// the connection, one connection at a time.

#pragma once

#include <atomic>
#include <string>
#include <thread>
#include <utility>

#include "gen/types.h"
#include "process/raw_socket.h"

namespace jujube::process {

class FixedResponseUpstream {
 public:
  FixedResponseUpstream(const Endpoint& endpoint, std::string response)
      : m_endpoint(endpoint),
        m_response(std::move(response)),
        m_listener(testing::RawSocket::Listen(endpoint, 16)),
        m_thread([this] { Serve(); }) {}
  ~FixedResponseUpstream() {
    m_is_stopped = true;
    testing::RawSocket::Connect(m_endpoint).Close();
    m_thread.join();
  }
  FixedResponseUpstream(const FixedResponseUpstream&) = delete;
  FixedResponseUpstream& operator=(const FixedResponseUpstream&) = delete;

  int Requests() const { return m_requests; }  // whose head was received

 private:
  void Serve() {
    while (!m_is_stopped) {
      const testing::RawSocket socket = m_listener.Accept();
      if (!socket.ReadUntil("\r\n\r\n"))
        continue;
      ++m_requests;
      socket.Send(m_response);
    }
  }

  const Endpoint m_endpoint;
  const std::string m_response;
  testing::RawSocket m_listener;
  std::atomic<bool> m_is_stopped = false;
  std::atomic<int> m_requests = 0;
  std::thread m_thread;
};

}  // namespace jujube::process
