// DeltaPage: registry changes for a peer in one message of bounded size.

#pragma once

#include <compare>
#include <cstdint>

#include "gen/membership.h"

namespace jujube::membership {

struct DeltaPage {
  // Within the limits of its schema. DeltaSince sets only the host, the
  // incarnation and the entries; the caller sets the other fields.
  RegistryDelta m_delta;
  std::uint64_t m_end_version = 0;  // `since` for the next call of DeltaSince
  bool m_is_complete = false;  // false if changes after m_end_version remain

  friend auto operator<=>(const DeltaPage&, const DeltaPage&) = default;
};

}  // namespace jujube::membership
