// UpstreamView: all that a worker thread reads to choose an upstream.
//
//   rcu::Cell<UpstreamView> cell(...);       // owned by the daemon
//   cell.Publish(std::make_unique<const UpstreamView>(
//       BuildView(inputs, counters)));       // control thread, on each change
//   {                                        // worker thread
//     const rcu::ReadSection section;
//     const UpstreamView& view = cell.Read(section);
//     if (const ServiceUpstreams* service = FindService(view, id))
//       selection = selector.Select(*service, context);
//   }                                        // selection holds copies
//
// The control thread owns the CounterTable, and with it the memory of counters.

#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "gen/deployment.h"
#include "membership/instance_key.h"
#include "membership/registry_snapshot.h"
#include "steering/counter_table.h"
#include "steering/service_upstreams.h"

namespace jujube::steering {

struct UpstreamView {
  std::uint64_t m_registry_version = 0;      // of the snapshot
  std::uint64_t m_deployment_number = 0;     // of the deployment
  Weights m_weights;                         // for the policy
  std::vector<ServiceUpstreams> m_services;  // ordered by name
  std::uint32_t m_unknown = 0;  // instances left out because the deployment
                                // lacks their service or zone

  friend auto operator<=>(const UpstreamView&, const UpstreamView&) = default;
};

struct ViewInputs {
  const membership::RegistrySnapshot& m_registry;
  const Deployment& m_deployment;
  const std::vector<Drain>& m_drains;
  AvailabilityZoneId m_zone;  // of this host
  MonoTime m_now = {};        // notes the ends of drains

  HostId m_host = {};                      // this host
  std::vector<HostId> m_entry_hosts = {};  // that may be sending too
  // Requests that may be at an instance for each of its slots, without grants.
  std::uint32_t m_queue_factor = 1;
  // Retries of a service that this host may save up.
  std::uint32_t m_retry_burst = RetryBudget::kDefaultBurst;

  // Slots of each instance that this host may use; an instance without a line
  // has none. Nothing: no allotments yet, all announced slots are usable.
  std::optional<std::map<membership::InstanceKey, SlotGrant>> m_grants;
};

UpstreamView BuildView(const ViewInputs& inputs, CounterTable& counters);

// Null if the deployment has no such service.
const ServiceUpstreams* FindService(const UpstreamView& view,
                                    const ServiceId& service);

}  // namespace jujube::steering
