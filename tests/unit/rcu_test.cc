#include <atomic>
#include <memory>
#include <thread>
#include <vector>

#include <gtest/gtest.h>

#include "rcu/cell.h"
#include "rcu/thread.h"

namespace jujube::rcu {
namespace {

// Guards against deleting a value while a reader still uses it. Both members of
// a value must be equal while a section is open, and versions must not go back.
TEST(RcuCell, ReadersSeeConsistentValuesDuringReplacement) {
  struct Pair {
    int m_first = 0;
    int m_second = 0;
  };
  constexpr int kLastVersion = 200;
  Cell<Pair> cell(std::make_unique<const Pair>());
  std::atomic<bool> inconsistent = false;
  std::vector<std::thread> readers;
  readers.reserve(3);
  for (int i = 0; i < 3; ++i) {
    readers.emplace_back([&] {
      const ThreadRegistration registration;
      int last_seen = 0;
      while (last_seen < kLastVersion) {
        const ReadSection section;
        const Pair& pair = cell.Read(section);
        if (pair.m_first != pair.m_second || pair.m_first < last_seen)
          inconsistent = true;
        last_seen = pair.m_first;
      }
    });
  }
  for (int i = 1; i <= kLastVersion; ++i)
    cell.Publish(std::make_unique<const Pair>(Pair{i, i}));
  for (std::thread& reader : readers)
    reader.join();
  EXPECT_FALSE(inconsistent);
}

}  // namespace
}  // namespace jujube::rcu
