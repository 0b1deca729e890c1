// DeltaPage: a bounded message for a peer and the version it reaches.

#pragma once

#include <compare>
#include <cstdint>

#include "gen/membership.h"

namespace jujube::membership {

struct DeltaPage {
  RegistryDelta m_delta;       // within the bounds of its schema
  std::uint64_t m_upto = 0;    // pass this to the next DeltaSince
  bool m_is_complete = false;  // false: further changes wait after m_upto

  friend auto operator<=>(const DeltaPage&, const DeltaPage&) = default;
};

}  // namespace jujube::membership
