// Registers the current thread with liburcu for as long as the object lives.

#pragma once

namespace jujube::rcu {

// Every thread that opens a ReadSection must hold a ThreadRegistration for its
// whole lifetime. Otherwise a grace period does not wait for its read sections.
class ThreadRegistration {
 public:
  ThreadRegistration();
  ~ThreadRegistration();
  ThreadRegistration(const ThreadRegistration&) = delete;
  ThreadRegistration& operator=(const ThreadRegistration&) = delete;
};

}  // namespace jujube::rcu
