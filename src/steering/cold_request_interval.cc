#include "steering/cold_request_interval.h"

#include <algorithm>

#include "core/hash.h"

namespace jujube::steering {
namespace {

constexpr std::uint64_t kRatePeriodSeconds = 1000;

// Slightly over a second, so that a host with a rate of one request per second
// never sends two requests within one second.
constexpr std::chrono::milliseconds kOnePerSecondInterval{1050};

}  // namespace

std::optional<std::chrono::nanoseconds> ColdRequestInterval(
    std::uint32_t requests_per_1000s,
    std::uint64_t instance_hash,
    const HostId& self,
    const std::vector<HostId>& hosts) {
  if (requests_per_1000s == 0)
    return std::chrono::nanoseconds(0);
  const auto rank = [&](const HostId& host) {
    return MixHash(instance_hash, Hash64(host.m_value));
  };
  const std::uint64_t own_rank = rank(self);
  std::uint64_t other_hosts = 0;
  std::uint64_t better_ranked_hosts = 0;
  for (const HostId& host : hosts) {
    if (host == self)
      continue;
    ++other_hosts;
    if (rank(host) > own_rank)
      ++better_ranked_hosts;
  }
  const std::uint64_t requests_per_second =
      std::max<std::uint64_t>(1, requests_per_1000s / kRatePeriodSeconds);
  if (requests_per_second > other_hosts)
    return std::chrono::nanoseconds(kOnePerSecondInterval) * (other_hosts + 1) /
           requests_per_second;
  if (better_ranked_hosts < requests_per_second)
    return kOnePerSecondInterval;
  return std::nullopt;
}

}  // namespace jujube::steering
