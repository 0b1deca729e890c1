// RCU read-side critical section: values read inside it stay valid until it
// ends.

#pragma once

namespace jujube::rcu {

// Must not span a suspension point or a blocking call; copy values that are
// needed after the section. Sections may nest. The thread must hold a
// ThreadRegistration.
class ReadSection {
 public:
  ReadSection();
  ~ReadSection();
  ReadSection(const ReadSection&) = delete;
  ReadSection& operator=(const ReadSection&) = delete;
};

// Blocks until all read sections that were open at the call have ended. Must
// not be called on the request path.
void WaitForReaders();

}  // namespace jujube::rcu
