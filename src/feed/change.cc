#include "feed/change.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "config/difference.h"
#include "config/route_difference.h"

namespace jujube::feed {

namespace {

// Maximum size of the block lists of a FeedChange; see schema/feed.json.
constexpr std::size_t kMaxChangedBlocks = 100000;

using Blocks = std::vector<CallerBlock>;

bool HasLowerPrefix(const CallerBlock& a, const CallerBlock& b) {
  return a.m_prefix < b.m_prefix;
}

bool HasCanonicalOrder(const Blocks& blocks) {
  return std::adjacent_find(blocks.begin(), blocks.end(),
                            [](const CallerBlock& a, const CallerBlock& b) {
                              return !HasLowerPrefix(a, b);
                            }) == blocks.end();
}

Blocks CanonicalBlocks(Blocks blocks) {
  if (HasCanonicalOrder(blocks))
    return blocks;
  std::stable_sort(blocks.begin(), blocks.end(), HasLowerPrefix);
  Blocks unique;
  unique.reserve(blocks.size());
  for (CallerBlock& block : blocks) {
    if (!unique.empty() && unique.back().m_prefix == block.m_prefix)
      unique.back() = std::move(block);
    else
      unique.push_back(std::move(block));
  }
  return unique;
}

// The part of the deployment that a change contains in full; routes and blocks
// are sent as differences.
Deployment WithoutRoutesAndBlocks(Deployment deployment) {
  deployment.m_routes.clear();
  return config::WithoutBlocks(std::move(deployment));
}

Blocks MergeBlocks(const Blocks& before,
                   const Blocks& upserted,
                   const std::vector<std::string>& removed) {
  Blocks after;
  after.reserve(before.size() + upserted.size());
  auto next_upserted = upserted.begin();
  auto next_removed = removed.begin();
  for (const CallerBlock& block : before) {
    while (next_upserted != upserted.end() &&
           next_upserted->m_prefix < block.m_prefix)
      after.push_back(*next_upserted++);
    while (next_removed != removed.end() && *next_removed < block.m_prefix)
      ++next_removed;
    if (next_upserted != upserted.end() &&
        next_upserted->m_prefix == block.m_prefix)
      after.push_back(*next_upserted++);
    else if (next_removed == removed.end() || *next_removed != block.m_prefix)
      after.push_back(block);
  }
  after.insert(after.end(), next_upserted, upserted.end());
  return after;
}

}  // namespace

FeedState Canonical(FeedState state) {
  std::sort(state.m_deployment.m_routes.begin(),
            state.m_deployment.m_routes.end());
  state.m_deployment.m_blocks =
      CanonicalBlocks(std::move(state.m_deployment.m_blocks));
  return state;
}

Result<FeedChange> MakeChange(const FeedState& before, const FeedState& after) {
  if (after.m_index <= before.m_index) {
    return MakeError(ErrorCode::kInvalidInput,
                     "feed: index " + std::to_string(after.m_index) +
                         " is not above " + std::to_string(before.m_index));
  }
  FeedChange change{.m_previous_index = before.m_index,
                    .m_index = after.m_index,
                    .m_deployment = WithoutRoutesAndBlocks(after.m_deployment),
                    .m_drains = after.m_drains,
                    .m_shift = after.m_shift};
  config::RouteChanges routes = config::CompareRoutes(
      before.m_deployment.m_routes, after.m_deployment.m_routes);
  change.m_upserted_routes = std::move(routes.m_upserted);
  change.m_removed_routes = std::move(routes.m_removed);
  const Blocks& old_blocks = before.m_deployment.m_blocks;
  auto old_block = old_blocks.begin();
  for (const CallerBlock& block : after.m_deployment.m_blocks) {
    for (;
         old_block != old_blocks.end() && old_block->m_prefix < block.m_prefix;
         ++old_block)
      change.m_removed.push_back(old_block->m_prefix);
    const bool is_existing =
        old_block != old_blocks.end() && old_block->m_prefix == block.m_prefix;
    if (!is_existing || old_block->m_site != block.m_site)
      change.m_upserted.push_back(block);
    if (is_existing)
      ++old_block;
  }
  for (; old_block != old_blocks.end(); ++old_block)
    change.m_removed.push_back(old_block->m_prefix);
  if (change.m_upserted.size() > kMaxChangedBlocks ||
      change.m_removed.size() > kMaxChangedBlocks) {
    return MakeError(
        ErrorCode::kInvalidInput,
        "feed: change with " + std::to_string(change.m_upserted.size()) +
            " upserted and " + std::to_string(change.m_removed.size()) +
            " removed blocks; the limit of each list is " +
            std::to_string(kMaxChangedBlocks));
  }
  return change;
}

Result<FeedState> ApplyChange(const FeedState& before,
                              const FeedChange& change) {
  if (change.m_previous_index != before.m_index ||
      change.m_index <= before.m_index) {
    return MakeError(
        ErrorCode::kConflict,
        "feed: change from " + std::to_string(change.m_previous_index) +
            " to " + std::to_string(change.m_index) +
            " does not apply at index " + std::to_string(before.m_index));
  }
  std::vector<std::string> removed = change.m_removed;
  std::sort(removed.begin(), removed.end());
  FeedState after{.m_index = change.m_index,
                  .m_deployment = WithoutRoutesAndBlocks(change.m_deployment),
                  .m_drains = change.m_drains,
                  .m_shift = change.m_shift};
  after.m_deployment.m_routes = config::MergeRoutes(
      before.m_deployment.m_routes, {.m_upserted = change.m_upserted_routes,
                                     .m_removed = change.m_removed_routes});
  after.m_deployment.m_blocks =
      MergeBlocks(before.m_deployment.m_blocks,
                  CanonicalBlocks(change.m_upserted), removed);
  return after;
}

}  // namespace jujube::feed
