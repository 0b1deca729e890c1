// SendLease: whether a request with a key may still be sent to an upstream.
//
// Asked right before the first byte is sent: the lease may run out while the
// request waits for a connection, or while the process is suspended.

#pragma once

#include <atomic>

#include "core/clock.h"

namespace jujube::entry {

class SendLease {
 public:
  // `end` is updated by the control thread and must outlive this object.
  SendLease(const std::atomic<MonoTime>& end, bool has_key)
      : m_end(end), m_has_key(has_key) {}

  bool IsValid(MonoTime now) const {
    return !m_has_key || now < m_end.load(std::memory_order_acquire);
  }

 private:
  const std::atomic<MonoTime>& m_end;
  bool m_has_key;
};

}  // namespace jujube::entry
