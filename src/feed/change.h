// Differences between two states of the configuration.
//
// A FeedState is canonical if its routes are sorted, and its blocks are sorted
// by prefix without duplicates. Changes preserve this order, so a state built
// from changes equals the state received as a snapshot.

#pragma once

#include "core/result.h"
#include "gen/feed.h"

namespace jujube::feed {

// Returns the state in canonical form. Of several blocks with the same prefix,
// the last one is kept.
FeedState Canonical(FeedState state);

// Returns the difference between two canonical states. kInvalidInput: the index
// does not increase, or the difference exceeds the limits of FeedChange, in
// which case the subscribers need a snapshot.
Result<FeedChange> MakeChange(const FeedState& before, const FeedState& after);

// Returns the canonical state after a change. kConflict: the change does not
// apply to the index of the state, or does not increase it.
Result<FeedState> ApplyChange(const FeedState& before,
                              const FeedChange& change);

}  // namespace jujube::feed
