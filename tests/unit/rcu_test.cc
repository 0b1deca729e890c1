#include <atomic>
#include <memory>
#include <thread>
#include <vector>

#include <gtest/gtest.h>

#include "rcu/cell.h"
#include "rcu/thread.h"

namespace jujube::rcu {
namespace {

// Guards against a value being deleted while a reader still uses it: both
// halves of each value agree for as long as a section is open.
TEST(RcuCell, ReadersSeeWholeValuesWhileTheyAreReplaced) {
  struct Pair {
    int m_first = 0;
    int m_second = 0;
  };
  constexpr int kVersions = 200;
  Cell<Pair> cell(std::make_unique<const Pair>());
  std::atomic<bool> torn = false;
  std::vector<std::thread> readers;
  readers.reserve(3);
  for (int i = 0; i < 3; ++i) {
    readers.emplace_back([&] {
      const ThreadRegistration registration;
      int last = 0;
      while (last < kVersions) {
        const ReadSection section;
        const Pair& pair = cell.Read(section);
        if (pair.m_first != pair.m_second || pair.m_first < last)
          torn = true;
        last = pair.m_first;
      }
    });
  }
  for (int i = 1; i <= kVersions; ++i)
    cell.Publish(std::make_unique<const Pair>(Pair{i, i}));
  for (std::thread& reader : readers)
    reader.join();
  EXPECT_FALSE(torn);
}

}  // namespace
}  // namespace jujube::rcu
