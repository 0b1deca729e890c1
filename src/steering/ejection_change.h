// EjectionChange: a result of outlier ejection, for the log.

#pragma once

#include <compare>
#include <cstdint>

#include "core/clock.h"
#include "gen/types.h"

namespace jujube::steering {

struct EjectionChange {
  enum class Kind : std::uint8_t {
    kEjected,
    kBounded,  // failing, but the ejection limit is reached
  };

  InstanceId m_instance;
  Kind m_kind = Kind::kEjected;
  MonoTime m_until;  // end of the ejection, if ejected
  // Why: as observed before the ejection.
  std::uint32_t m_consecutive_failures = 0;  // weighted
  std::uint32_t m_connect_timeouts = 0;      // consecutive
  std::uint32_t m_failure_permille = 0;

  friend auto operator<=>(const EjectionChange&,
                          const EjectionChange&) = default;
};

}  // namespace jujube::steering
