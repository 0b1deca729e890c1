// Founding: decides when replicas with empty data folders may create the
// initial membership of a new log.

#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <vector>

#include "gen/consensus.h"

namespace jujube::consensus {

enum class FoundingStep : std::uint8_t {
  kWait,              // wait for the introductions of the remaining hosts
  kCreateMembership,  // store m_voters with LogStore::WriteInitialMembership,
                      // then start the replica
  kJoin,              // start the replica and wait for the log from the leader
};

struct FoundingDecision {
  FoundingStep m_step = FoundingStep::kWait;
  Voters m_voters;  // membership without learners; only for kCreateMembership

  friend auto operator<=>(const FoundingDecision&,
                          const FoundingDecision&) = default;
};

// Decides for a replica with an empty data folder. `hosts` are the founding
// hosts from the settings; `introductions` holds the newest introduction of
// each known host, including this one. No membership is created if any folder
// already has one: hosts that lost their disks could otherwise form a second
// majority next to the existing log.
FoundingDecision DecideFounding(const std::vector<HostId>& hosts,
                                const std::vector<Introduction>& introductions);

}  // namespace jujube::consensus
