// QuotaLeader: the process that grants quotas, as known to an entry host.

#pragma once

#include <compare>
#include <cstdint>

#include "gen/types.h"

namespace jujube::quotas {

struct QuotaLeader {
  HostId m_host;
  std::uint64_t m_incarnation = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): false positive on a default
  friend auto operator<=>(const QuotaLeader&, const QuotaLeader&) = default;
};

}  // namespace jujube::quotas
