// MergeOutcome: what the registry did with an announcement.

#pragma once

#include <cstdint>
#include <string_view>

namespace jujube::membership {

enum class MergeOutcome : std::uint8_t {
  kAppeared,   // first of the instance, of an incarnation, or after an expiry
  kRefreshed,  // replaced an older one of the same incarnation
  kLeft,       // the instance now leaves; final for the incarnation
  kOlder,      // not above the known (incarnation, sequence); changed nothing
  kTooLate,    // its lease is over already; changed nothing
  kFinal,      // the incarnation has left; changed nothing
  kFull,       // too many instances; changed nothing
};

// Label of the metric jujube_announcements_total.
std::string_view ToString(MergeOutcome outcome);

// Whether the registry changed, so that a new snapshot is due.
constexpr bool IsChange(MergeOutcome outcome) {
  return outcome <= MergeOutcome::kLeft;
}

}  // namespace jujube::membership
