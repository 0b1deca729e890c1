// Difference between two documents.
//
//   const BlockChanges changes = CompareBlocks(old_blocks, new_blocks);
//   for (const std::string& line : DescribeChanges(from, to)) ...
//
// Blocks make up most of a document, so a configuration change is sent as a
// document without blocks plus the changed blocks. For sorted lists,
// MergeBlocks(old, CompareBlocks(old, new)) == new.

#pragma once

#include <string>
#include <vector>

#include "gen/deployment.h"

namespace jujube::config {

struct BlockChanges {
  std::vector<CallerBlock> m_upserted;  // added, or with another site
  std::vector<std::string> m_removed;   // prefixes of removed blocks

  friend auto operator<=>(const BlockChanges&, const BlockChanges&) = default;
};

// Both lists must be sorted by prefix, without duplicates (see
// CanonicalDeployment).
BlockChanges CompareBlocks(const std::vector<CallerBlock>& from,
                           const std::vector<CallerBlock>& to);

// Applies the changes to a sorted list; the result is sorted.
std::vector<CallerBlock> MergeBlocks(const std::vector<CallerBlock>& from,
                                     const BlockChanges& changes);

// The largest share of a region's blocks that move to another region, in
// permille, rounded up. Added and removed blocks do not count as moved.
std::uint32_t MovedPermille(const Deployment& from, const Deployment& to);

// A copy of the document without its blocks.
Deployment WithoutBlocks(Deployment deployment);

// Human-readable list with a line for each object that was added, removed or
// changed, such as `region "luzon" changed: max_in_progress 400 -> 500`.
// Routes, m_request_limits, m_discovers_entry_hosts and m_source are not
// compared, so their changes are not listed. After max_lines lines, a last line
// gives the number of omitted ones.
std::vector<std::string> DescribeChanges(const Deployment& from,
                                         const Deployment& to,
                                         std::size_t max_lines = 200);

}  // namespace jujube::config
