// LimitChange: a tenant reached its quota at this host, or is below it again.

#pragma once

#include <compare>
#include <cstdint>

#include "gen/types.h"

namespace jujube::quotas {

struct LimitChange {
  TenantId m_tenant;
  bool m_is_at_limit = false;
  std::uint64_t m_refused = 0;  // requests refused since it reached the limit

  // NOLINTNEXTLINE(modernize-use-nullptr): false positive on a default
  friend auto operator<=>(const LimitChange&, const LimitChange&) = default;
};

}  // namespace jujube::quotas
