// A read section: values read inside it stay valid until it ends.

#pragma once

namespace jujube::rcu {

// Never spans a suspension point or a blocking call; copy out what is needed
// afterwards. Sections may nest. Precondition: the thread is registered.
class ReadSection {
 public:
  ReadSection();
  ~ReadSection();
  ReadSection(const ReadSection&) = delete;
  ReadSection& operator=(const ReadSection&) = delete;
};

// Waits until all read sections that were open at the call have ended. Not for
// the path of a request.
void WaitForReaders();

}  // namespace jujube::rcu
