// InstanceKey: identifies an upstream instance across all services.

#pragma once

#include <compare>

#include "gen/types.h"

namespace jujube::membership {

struct InstanceKey {
  ServiceId m_service;
  InstanceId m_instance;  // unique within the service

  // NOLINTNEXTLINE(modernize-use-nullptr): false positive for = default
  friend auto operator<=>(const InstanceKey&, const InstanceKey&) = default;
};

}  // namespace jujube::membership
