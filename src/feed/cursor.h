// Cursor: how far a subscriber of the feed has been served.

#pragma once

#include <cstdint>
#include <memory>

namespace jujube::feed {

// Owned by the server of the subscriber and changed by Publisher::Next. Start
// with the index of the subscription. Its size does not depend on the state.
struct Cursor {
  std::uint64_t m_index = 0;           // everything up to here was sent
  std::uint64_t m_snapshot_index = 0;  // snapshot that is being sent; 0: none
  std::uint64_t m_offset = 0;          // bytes of it that were sent
  std::shared_ptr<const std::uint64_t> m_lease;  // keeps that snapshot encoded

  friend auto operator<=>(const Cursor&, const Cursor&) = default;
};

}  // namespace jujube::feed
