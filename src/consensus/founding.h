// Founding: when an empty data folder may form the first membership.

#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <vector>

#include "gen/consensus.h"

namespace jujube::consensus {

enum class FoundingStep : std::uint8_t {
  kWait,   // not all hosts have introduced themselves
  kFound,  // store the voters with LogStore::Found, then start the replica
  kJoin,   // start the replica; the leader sends it the log
};

struct FoundingDecision {
  FoundingStep m_step = FoundingStep::kWait;
  Voters m_voters;  // only for kFound

  friend auto operator<=>(const FoundingDecision&,
                          const FoundingDecision&) = default;
};

// Decides for a replica whose own folder is empty. `hosts` are the founding
// hosts of the settings, `seen` the newest introduction of each, its own
// included. A single founded folder forbids founding: hosts that lost their
// disks could otherwise form a majority beside the existing log.
FoundingDecision DecideFounding(const std::vector<HostId>& hosts,
                                const std::vector<Introduction>& seen);

}  // namespace jujube::consensus
