// Registers the current thread with liburcu for as long as the object lives.

#pragma once

namespace jujube::rcu {

// Every thread that opens a ReadSection holds one of these, from its start to
// its end. Without it, a grace period does not wait for the thread.
class ThreadRegistration {
 public:
  ThreadRegistration();
  ~ThreadRegistration();
  ThreadRegistration(const ThreadRegistration&) = delete;
  ThreadRegistration& operator=(const ThreadRegistration&) = delete;
};

}  // namespace jujube::rcu
