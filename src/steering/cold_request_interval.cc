#include "steering/cold_request_interval.h"

#include <algorithm>

#include "core/hash.h"

namespace jujube::steering {
namespace {

constexpr std::uint64_t kPerThousandSeconds = 1000;

// A little over a second, so that no span of one second holds two requests of a
// host with a rate of one.
constexpr std::chrono::milliseconds kOneASecond{1050};

}  // namespace

std::optional<std::chrono::nanoseconds> ColdSpacing(
    std::uint32_t requests_per_1000s,
    std::uint64_t instance_hash,
    const HostId& self,
    const std::vector<HostId>& hosts) {
  if (requests_per_1000s == 0)
    return std::chrono::nanoseconds(0);
  const auto rank = [&](const HostId& host) {
    return MixHash(instance_hash, Hash64(host.m_value));
  };
  const std::uint64_t own = rank(self);
  std::uint64_t others = 0;
  std::uint64_t before = 0;  // hosts with a better rank
  for (const HostId& host : hosts) {
    if (host == self)
      continue;
    ++others;
    if (rank(host) > own)
      ++before;
  }
  const std::uint64_t whole =
      std::max<std::uint64_t>(1, requests_per_1000s / kPerThousandSeconds);
  if (whole > others)
    return std::chrono::nanoseconds(kOneASecond) * (others + 1) / whole;
  if (before < whole)
    return kOneASecond;
  return std::nullopt;
}

}  // namespace jujube::steering
