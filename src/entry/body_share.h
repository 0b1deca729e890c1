// BodyShare: bytes of large bodies on their way to each upstream.
//
// An upstream holds the bodies of its requests in memory. The bound for all
// entry hosts is divided equally among them and their worker threads, without
// messages between them; each may always send one body.
//
// One per worker thread; not thread-safe.

#pragma once

#include <cstddef>
#include <cstdint>
#include <map>

#include "gen/types.h"

namespace jujube::entry {

// Bound on body bytes under way to one upstream from all entry hosts.
inline constexpr std::uint64_t kMaxBodyBytesPerUpstream = 8U << 20U;

// Part of the bound for one worker thread.
std::uint64_t BodyShareOfThread(std::uint64_t total,
                                std::size_t hosts,
                                std::size_t threads);

class BodyShare {
 public:
  // True if a body of this size may be sent to the instance now.
  bool HasRoom(const InstanceId& instance,
               std::uint64_t bytes,
               std::uint64_t share) const;

  // Counts a body during its lifetime. Must not outlive the BodyShare.
  class Sending {
   public:
    Sending(BodyShare& share, const InstanceId& instance, std::uint64_t bytes);
    ~Sending();
    Sending(const Sending&) = delete;
    Sending& operator=(const Sending&) = delete;

   private:
    BodyShare& m_share;
    const InstanceId m_instance;
    const std::uint64_t m_bytes;
  };

 private:
  std::map<InstanceId, std::uint64_t> m_bytes;  // no entries of zero
};

}  // namespace jujube::entry
