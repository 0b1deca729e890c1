// MergeOutcome: the result of merging an announcement into the registry.

#pragma once

#include <cstdint>
#include <string_view>

namespace jujube::membership {

enum class MergeOutcome : std::uint8_t {
  kAppeared,   // new instance, new incarnation, or back after its lease expired
  kRefreshed,  // replaced an older announcement of the same incarnation
  kLeft,       // the instance started to leave; final for the incarnation
  kOlder,      // (incarnation, sequence) not above the stored one; ignored
  kTooLate,    // the lease of the announcement had expired; ignored
  kFinal,      // the incarnation is already leaving; ignored
  kFull,       // the registry is at m_max_instances; ignored
};

// Label of the metric jujube_announcements_total.
std::string_view ToString(MergeOutcome outcome);

// True if the registry changed and its readers need a new snapshot.
constexpr bool IsChange(MergeOutcome outcome) {
  return outcome <= MergeOutcome::kLeft;
}

}  // namespace jujube::membership
