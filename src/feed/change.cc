#include "feed/change.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "config/difference.h"
#include "config/route_difference.h"

namespace jujube::feed {

namespace {

// Limits of the lists in FeedChange; schema/feed.json.
constexpr std::size_t kMaxChangedBlocks = 100000;

using Blocks = std::vector<CallerBlock>;

bool PrefixLess(const CallerBlock& a, const CallerBlock& b) {
  return a.m_prefix < b.m_prefix;
}

bool IsCanonical(const Blocks& blocks) {
  return std::adjacent_find(blocks.begin(), blocks.end(),
                            [](const CallerBlock& a, const CallerBlock& b) {
                              return !PrefixLess(a, b);
                            }) == blocks.end();
}

Blocks SortedBlocks(Blocks blocks) {
  if (IsCanonical(blocks))
    return blocks;
  std::stable_sort(blocks.begin(), blocks.end(), PrefixLess);
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

// What a change states as a whole: all but the long lists.
Deployment WithoutLists(Deployment deployment) {
  deployment.m_routes.clear();
  return config::WithoutBlocks(std::move(deployment));
}

Blocks MergeBlocks(const Blocks& before,
                   const Blocks& upserted,
                   const std::vector<std::string>& removed) {
  Blocks after;
  after.reserve(before.size() + upserted.size());
  auto next = upserted.begin();
  auto gone = removed.begin();
  for (const CallerBlock& block : before) {
    while (next != upserted.end() && next->m_prefix < block.m_prefix)
      after.push_back(*next++);
    while (gone != removed.end() && *gone < block.m_prefix)
      ++gone;
    if (next != upserted.end() && next->m_prefix == block.m_prefix)
      after.push_back(*next++);
    else if (gone == removed.end() || *gone != block.m_prefix)
      after.push_back(block);
  }
  after.insert(after.end(), next, upserted.end());
  return after;
}

}  // namespace

FeedState Canonical(FeedState state) {
  std::sort(state.m_deployment.m_routes.begin(),
            state.m_deployment.m_routes.end());
  state.m_deployment.m_blocks =
      SortedBlocks(std::move(state.m_deployment.m_blocks));
  return state;
}

Result<FeedChange> MakeChange(const FeedState& before, const FeedState& after) {
  if (after.m_index <= before.m_index) {
    return MakeError(ErrorCode::kInvalidInput,
                     "feed: index " + std::to_string(after.m_index) +
                         " does not follow " + std::to_string(before.m_index));
  }
  FeedChange change{.m_previous_index = before.m_index,
                    .m_index = after.m_index,
                    .m_deployment = WithoutLists(after.m_deployment),
                    .m_drains = after.m_drains,
                    .m_shift = after.m_shift};
  config::RouteChanges routes = config::CompareRoutes(
      before.m_deployment.m_routes, after.m_deployment.m_routes);
  change.m_upserted_routes = std::move(routes.m_upserted);
  change.m_removed_routes = std::move(routes.m_removed);
  const Blocks& from = before.m_deployment.m_blocks;
  auto old = from.begin();
  for (const CallerBlock& block : after.m_deployment.m_blocks) {
    for (; old != from.end() && old->m_prefix < block.m_prefix; ++old)
      change.m_removed.push_back(old->m_prefix);
    const bool known = old != from.end() && old->m_prefix == block.m_prefix;
    if (!known || old->m_site != block.m_site)
      change.m_upserted.push_back(block);
    if (known)
      ++old;
  }
  for (; old != from.end(); ++old)
    change.m_removed.push_back(old->m_prefix);
  if (change.m_upserted.size() > kMaxChangedBlocks ||
      change.m_removed.size() > kMaxChangedBlocks) {
    return MakeError(
        ErrorCode::kInvalidInput,
        "feed: change of " + std::to_string(change.m_upserted.size()) +
            " and " + std::to_string(change.m_removed.size()) +
            " blocks, allowed are " + std::to_string(kMaxChangedBlocks));
  }
  return change;
}

Result<FeedState> ApplyChange(const FeedState& before,
                              const FeedChange& change) {
  if (change.m_previous_index != before.m_index ||
      change.m_index <= before.m_index) {
    return MakeError(ErrorCode::kConflict,
                     "feed: change from " +
                         std::to_string(change.m_previous_index) + " to " +
                         std::to_string(change.m_index) + " at index " +
                         std::to_string(before.m_index));
  }
  std::vector<std::string> removed = change.m_removed;
  std::sort(removed.begin(), removed.end());
  FeedState after{.m_index = change.m_index,
                  .m_deployment = WithoutLists(change.m_deployment),
                  .m_drains = change.m_drains,
                  .m_shift = change.m_shift};
  after.m_deployment.m_routes = config::MergeRoutes(
      before.m_deployment.m_routes, {.m_upserted = change.m_upserted_routes,
                                     .m_removed = change.m_removed_routes});
  after.m_deployment.m_blocks = MergeBlocks(
      before.m_deployment.m_blocks, SortedBlocks(change.m_upserted), removed);
  return after;
}

}  // namespace jujube::feed
