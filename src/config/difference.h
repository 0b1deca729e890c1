// Difference between two documents.
//
//   const BlockChanges changes = CompareBlocks(old_blocks, new_blocks);
//   for (const std::string& line : DescribeChanges(from, to)) ...
//
// Blocks are the large part of a document, so a change of the configuration is
// transported as a document without blocks together with the blocks that
// differ. MergeBlocks(old, CompareBlocks(old, new)) == new for sorted lists.

#pragma once

#include <string>
#include <vector>

#include "gen/deployment.h"

namespace jujube::config {

struct BlockChanges {
  std::vector<CallerBlock> m_upserted;  // new, or with another site
  std::vector<std::string> m_removed;   // prefixes that are gone

  friend auto operator<=>(const BlockChanges&, const BlockChanges&) = default;
};

// Both lists are sorted by prefix and hold each prefix once (see Canonical).
BlockChanges CompareBlocks(const std::vector<CallerBlock>& from,
                           const std::vector<CallerBlock>& to);

// Applies the changes to a sorted list; the result is sorted.
std::vector<CallerBlock> MergeBlocks(const std::vector<CallerBlock>& from,
                                     const BlockChanges& changes);

// Largest part, in permille and rounded up, of the blocks of a region whose
// home is in another region afterwards. Blocks that are new or gone do not
// count.
std::uint32_t MovedPermille(const Deployment& from, const Deployment& to);

// A copy of the document without its blocks.
Deployment WithoutBlocks(Deployment deployment);

// Readable list, one line for each object that was added, removed or changed,
// such as `region "luzon" changed: max_in_progress 400 -> 500`. At most
// max_lines lines; the last one counts the rest.
std::vector<std::string> DescribeChanges(const Deployment& from,
                                         const Deployment& to,
                                         std::size_t max_lines = 200);

}  // namespace jujube::config
