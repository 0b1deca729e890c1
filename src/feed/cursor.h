// Cursor: the position of a subscriber in the feed.

#pragma once

#include <cstdint>
#include <memory>

namespace jujube::feed {

// Owned by the server of the subscriber and advanced by Publisher::NextMessage.
// Set m_index to the index of the subscription. The memory use does not depend
// on the size of the state.
struct Cursor {
  std::uint64_t m_index = 0;           // all changes up to this index were sent
  std::uint64_t m_snapshot_index = 0;  // snapshot that is being sent; 0: none
  std::uint64_t m_offset = 0;          // bytes of the snapshot that were sent
  // Reference that prevents Publisher::ReleaseUnusedSnapshot from freeing the
  // encoded snapshot.
  std::shared_ptr<const std::uint64_t> m_snapshot_ref;

  friend auto operator<=>(const Cursor&, const Cursor&) = default;
};

}  // namespace jujube::feed
