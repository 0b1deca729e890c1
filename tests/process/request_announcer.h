// RequestAnnouncer: announces an instance every 200 ms, with increasing
// sequence numbers, until Stop().

#pragma once

#include <atomic>
#include <chrono>
#include <thread>

#include "process/request_fixture.h"

namespace jujube::testing {

class RequestAnnouncer {
 public:
  RequestAnnouncer(const RequestSystem& system,
                   std::size_t entry,
                   const Announcement& first)
      : m_thread([this, &system, entry, first] {
          Announcement announcement = first;
          while (!m_is_stopped) {
            system.Announce(entry, announcement, kPlatformKey);
            ++announcement.m_sequence;
            std::this_thread::sleep_for(std::chrono::milliseconds(200));
          }
        }) {}
  ~RequestAnnouncer() { Stop(); }
  RequestAnnouncer(const RequestAnnouncer&) = delete;
  RequestAnnouncer& operator=(const RequestAnnouncer&) = delete;

  void Stop() {
    m_is_stopped = true;
    if (m_thread.joinable())
      m_thread.join();
  }

 private:
  std::atomic<bool> m_is_stopped = false;
  std::thread m_thread;
};

}  // namespace jujube::testing
