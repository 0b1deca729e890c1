// Differences between two states of the configuration.
//
// A FeedState is canonical if its blocks are sorted by prefix, each prefix
// once. Changes are merged in that order, so a state that was reached by
// changes equals the state of a snapshot.

#pragma once

#include "core/result.h"
#include "gen/feed.h"

namespace jujube::feed {

// The same state with its blocks in canonical order. The last of several blocks
// with the same prefix stays.
FeedState Canonical(FeedState state);

// Difference between two canonical states. kInvalidInput: the index does not
// grow, or the difference is over the limits of FeedChange, in which case the
// subscribers need a snapshot.
Result<FeedChange> MakeChange(const FeedState& before, const FeedState& after);

// The canonical state after a change. kConflict: the state is not at the index
// to which the change applies, or the change does not raise it.
Result<FeedState> ApplyChange(const FeedState& before,
                              const FeedChange& change);

}  // namespace jujube::feed
